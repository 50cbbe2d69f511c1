import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { TargetId } from '@hibiscusledge/runtime/identifiers.js'
import { formatTraceparent } from '@hibiscusledge/runtime/trace-context.js'
import { request } from 'undici'
import { z } from 'zod'
import type { RunOrder, RunReport, TargetAddress, TargetClient, TargetProgress } from './target-client.js'
import { TargetConnectionPools } from './target-connection-pools.js'
import { formatError, isMarkedNotRun, isConnectError, readJsonBody, targetErrorSchema } from './target-response.js'

const PROGRESS_TIMEOUT_MS = 1000
const LOOKUP_TIMEOUT_MS = 1000
const FIRST_LOOKUP_DELAY_MS = 100
const MAXIMUM_LOOKUP_DELAY_MS = 2000
/** An unanswered run is looked up after this time, on a new connection, as its own may be broken without an error. */
const UNANSWERED_LOOKUP_DELAY_MS = 2000
/** A run that the target still does not know after this time has not arrived or is no longer recorded there. */
const ABSENT_GRACE_MS = 5000

const lookupSchema = z.object({
  state: z.enum(['running', 'completed', 'absent']),
  attempt: z.number().optional(),
  result: z.unknown().default(null),
  error: targetErrorSchema.optional()
})
const progressSchema = z.object({ progress: z.number(), running: z.number(), leaving: z.boolean() })
const failureSchema = z.object({ error: targetErrorSchema })

/** Runs requests on executors. The protocol is described in docs/target-protocols.md. */
export class ExecutorClient implements TargetClient {
  readonly #connectionPools = new TargetConnectionPools()
  readonly #clock: Clock
  readonly #source: string
  readonly #attachedRuns = new Map<TargetId, Set<AbortController>>()

  constructor (clock: Clock, source: string) {
    this.#clock = clock
    this.#source = source
  }

  async run (target: TargetAddress, order: RunOrder): Promise<RunReport> {
    const abort = new AbortController()
    const answer = this.#send(target, order, abort.signal)
    const polling = this.#pollUnansweredRun(target, order, abort.signal)
    const report = await Promise.race([answer, polling])
    abort.abort()
    return report
  }

  async attach (target: TargetAddress, order: RunOrder): Promise<RunReport> {
    const abort = new AbortController()
    const attached = this.#attachedRuns.get(target.id) ?? new Set()
    this.#attachedRuns.set(target.id, attached.add(abort))
    const report = await this.#pollRun(target, order, abort.signal)
    attached.delete(abort)
    return report
  }

  detach (targetId: TargetId): void {
    for (const abort of this.#attachedRuns.get(targetId) ?? []) abort.abort()
    this.#attachedRuns.delete(targetId)
  }

  acknowledge (): void {}

  async requestAction (): Promise<void> {}

  async readProgress (target: TargetAddress): Promise<TargetProgress | undefined> {
    try {
      const response = await request(`http://${target.address}/progress`, {
        headersTimeout: PROGRESS_TIMEOUT_MS, bodyTimeout: PROGRESS_TIMEOUT_MS, reset: true
      })
      const parsed = progressSchema.safeParse(await readJsonBody(response.body))
      if (!parsed.success) return undefined
      return { progress: parsed.data.progress, running: parsed.data.running, isLeaving: parsed.data.leaving }
    } catch {
      return undefined
    }
  }

  async close (): Promise<void> {
    for (const targetId of [...this.#attachedRuns.keys()]) this.detach(targetId)
    await this.#connectionPools.close()
  }

  async #send (target: TargetAddress, order: RunOrder, signal: AbortSignal): Promise<RunReport> {
    try {
      const response = await this.#connectionPools.getDispatcher(target, order.isIdempotent).request({
        method: 'POST',
        path: '/run',
        headers: this.#buildHeaders(order),
        body: JSON.stringify(order.payload ?? null),
        reset: !order.isIdempotent,
        headersTimeout: order.timeoutMs,
        bodyTimeout: order.timeoutMs,
        signal
      })
      if (isMarkedNotRun(response)) {
        await response.body.dump()
        return { type: 'notRun', message: `refused with status ${response.statusCode}`, isLeaving: response.statusCode === 503 }
      }
      const body = await readJsonBody(response.body)
      if (response.statusCode === 200) return { type: 'succeeded', result: body }
      // Without this header the error may come from an intermediary, and the run may still be in progress.
      if (response.headers['x-run-failed'] !== 'true') return { type: 'unknown', message: `status ${response.statusCode}` }
      return { type: 'failed', message: readErrorText(body) ?? `status ${response.statusCode}` }
    } catch (error) {
      if (isConnectError(error)) return { type: 'notRun', message: formatError(error), isLeaving: false }
      return { type: 'unknown', message: formatError(error) }
    }
  }

  #buildHeaders (order: RunOrder): Record<string, string> {
    return {
      'content-type': 'application/json',
      'ce-id': order.requestId,
      'ce-type': order.kind,
      'ce-source': this.#source,
      'ce-specversion': '1.0',
      'x-attempt': String(order.attempt),
      ...(order.trace === undefined ? {} : { traceparent: formatTraceparent(order.trace) })
    }
  }

  /** Polls an unanswered run on new connections. Resolves with its report when it has ended but its answer did not arrive. */
  async #pollUnansweredRun (target: TargetAddress, order: RunOrder, signal: AbortSignal): Promise<RunReport> {
    await this.#wait(Math.min(UNANSWERED_LOOKUP_DELAY_MS, order.timeoutMs), signal)
    const startedAtMs = this.#clock.readMonotonicMs()
    while (!signal.aborted && this.#clock.readMonotonicMs() - startedAtMs < order.timeoutMs) {
      const found = await this.#lookup(target, order)
      if (found.type === 'ended') {
        this.#connectionPools.replacePool(target)
        return found.report
      }
      // The target is reachable and has no record of the run, so the connection that carried it is broken.
      if (found.type === 'absent' && order.isIdempotent) {
        this.#connectionPools.replacePool(target)
        return { type: 'lost', message: 'the target has no record of the run on a new connection' }
      }
      await this.#wait(MAXIMUM_LOOKUP_DELAY_MS, signal)
    }
    return { type: 'unknown', message: `no answer within ${order.timeoutMs} ms` }
  }

  async #pollRun (target: TargetAddress, order: RunOrder, signal: AbortSignal): Promise<RunReport> {
    const startedAtMs = this.#clock.readMonotonicMs()
    let delayMs = FIRST_LOOKUP_DELAY_MS
    while (!signal.aborted) {
      const found = await this.#lookup(target, order)
      const elapsedMs = this.#clock.readMonotonicMs() - startedAtMs
      if (found.type === 'ended') return found.report
      if (found.type === 'absent' && elapsedMs > ABSENT_GRACE_MS) {
        return { type: 'unknown', message: 'the target has no record of the run' }
      }
      if (elapsedMs > order.timeoutMs) return { type: 'unknown', message: `no answer within ${order.timeoutMs} ms` }
      await this.#wait(delayMs, signal)
      delayMs = Math.min(MAXIMUM_LOOKUP_DELAY_MS, delayMs * 2)
    }
    return { type: 'detached' }
  }

  async #lookup (target: TargetAddress, order: RunOrder): Promise<RunLookup> {
    try {
      const response = await request(`http://${target.address}/runs/${encodeURIComponent(order.requestId)}?attempt=${order.attempt}`, {
        headersTimeout: LOOKUP_TIMEOUT_MS, bodyTimeout: LOOKUP_TIMEOUT_MS, reset: true
      })
      const parsed = lookupSchema.safeParse(await readJsonBody(response.body))
      if (!parsed.success) return { type: 'unreachable' }
      const { state, attempt, result, error } = parsed.data
      // The target has a run of another attempt only.
      if (state === 'absent' || (attempt !== undefined && attempt !== order.attempt)) return { type: 'absent' }
      if (state === 'running') return { type: 'running' }
      return { type: 'ended', report: error === undefined ? { type: 'succeeded', result } : { type: 'failed', message: error.message } }
    } catch {
      return { type: 'unreachable' }
    }
  }

  #wait (delayMs: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal.aborted) { resolve(); return }
      const finish = (): void => {
        timer.cancel()
        signal.removeEventListener('abort', finish)
        resolve()
      }
      const timer = this.#clock.startTimer(delayMs, finish)
      signal.addEventListener('abort', finish)
    })
  }
}

type RunLookup =
  | { readonly type: 'running' | 'absent' | 'unreachable' }
  | { readonly type: 'ended', readonly report: RunReport }

function readErrorText (body: unknown): string | undefined {
  const parsed = failureSchema.safeParse(body)
  return parsed.success ? parsed.data.error.message : undefined
}
