import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { TargetId } from '@hibiscusledge/runtime/identifiers.js'
import { formatTraceparent } from '@hibiscusledge/runtime/trace-context.js'
import { request } from 'undici'
import type { RunOrder, RunReport, TargetAddress, TargetClient, TargetProgress, UsageListener } from './target-client.js'
import { formatError, isMarkedNotRun, isConnectError, readJsonBody } from './target-response.js'
import { formatTaskId, WORKER_LEASE_MS, WorkerSession } from './worker-session.js'

const START_TIMEOUT_MS = 3000
const ACTION_TIMEOUT_MS = 2000
/** Speed of a throttled task, as a fraction of full speed. */
const THROTTLED_SPEED = 0.25

/** Runs tasks under leases on workers. The protocol is described in docs/target-protocols.md. */
export class WorkerClient implements TargetClient {
  readonly #clock: Clock
  readonly #onUsage: UsageListener
  readonly #sessions = new Map<TargetId, WorkerSession>()

  constructor (clock: Clock, onUsage: UsageListener) {
    this.#clock = clock
    this.#onUsage = onUsage
  }

  async run (target: TargetAddress, order: RunOrder): Promise<RunReport> {
    const session = this.#getSession(target)
    const ended = session.track(order)
    const refusal = await this.#sendStart(target, order)
    if (refusal === undefined) return await ended
    session.discard(order)
    return refusal
  }

  attach (target: TargetAddress, order: RunOrder): Promise<RunReport> {
    return this.#getSession(target).track(order)
  }

  detach (targetId: TargetId): void {
    this.#sessions.get(targetId)?.close()
    this.#sessions.delete(targetId)
  }

  acknowledge (targetId: TargetId, order: RunOrder): void {
    this.#sessions.get(targetId)?.acknowledge(order)
  }

  async requestAction (target: TargetAddress, order: RunOrder, action: 'stop' | 'checkpoint' | 'throttle'): Promise<void> {
    const path = `/tasks/${encodeURIComponent(formatTaskId(order))}/${action}`
    await request(`http://${target.address}${path}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(action === 'throttle' ? { speed: THROTTLED_SPEED } : {}),
      headersTimeout: ACTION_TIMEOUT_MS,
      bodyTimeout: ACTION_TIMEOUT_MS,
      reset: true
    }).then((response) => response.body.dump()).catch(() => {})
  }

  readProgress (target: TargetAddress): Promise<TargetProgress | undefined> {
    return this.#getSession(target).readProgress()
  }

  async close (): Promise<void> {
    for (const targetId of [...this.#sessions.keys()]) this.detach(targetId)
  }

  /** Returns a report when the task is known not to have started, and undefined when the session must determine it. */
  async #sendStart (target: TargetAddress, order: RunOrder): Promise<RunReport | undefined> {
    try {
      const response = await request(`http://${target.address}/tasks/${encodeURIComponent(formatTaskId(order))}`, {
        method: 'PUT',
        headers: {
          'content-type': 'application/json',
          ...(order.trace === undefined ? {} : { traceparent: formatTraceparent(order.trace) })
        },
        body: JSON.stringify({
          requestId: order.requestId,
          attempt: order.attempt,
          kind: order.kind,
          resources: order.resources,
          leaseMs: WORKER_LEASE_MS,
          payload: order.payload ?? null,
          ...(order.checkpoint === undefined ? {} : { checkpoint: order.checkpoint })
        }),
        headersTimeout: START_TIMEOUT_MS,
        bodyTimeout: START_TIMEOUT_MS
      })
      await readJsonBody(response.body).catch(() => undefined)
      if (isMarkedNotRun(response)) {
        return { type: 'notRun', message: `refused with status ${response.statusCode}`, isLeaving: response.statusCode === 503 }
      }
      return undefined
    } catch (error) {
      return isConnectError(error) ? { type: 'notRun', message: formatError(error), isLeaving: false } : undefined
    }
  }

  #getSession (target: TargetAddress): WorkerSession {
    let session = this.#sessions.get(target.id)
    if (session === undefined) {
      session = new WorkerSession(target, this.#clock, this.#onUsage)
      this.#sessions.set(target.id, session)
    }
    return session
  }
}
