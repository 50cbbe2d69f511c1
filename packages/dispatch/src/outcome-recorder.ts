import { createHash } from 'node:crypto'
import { PEER_MESSAGE_KINDS } from '@hibiscusledge/peer/peer-message-kinds.js'
import type { DispatchContext } from './dispatch-context.js'
import { DISPATCH_EVENTS } from './dispatch-events.js'
import type { HomeRequest } from './home-request.js'
import type { OutcomeEntry } from './ledger-entry.js'
import { COMMIT_RESULTS, type PartitionLedger } from './partition-ledger.js'
import type { RequestOutcome } from './request-outcome.js'

/** Results up to this size are kept in the ledger. */
export const LEDGER_RESULT_MAX_BYTES = 16 * 1024

/** Ends requests: keeps the outcome, records it where the ledger knows the request, and tells the entries that wait. */
export class OutcomeRecorder {
  readonly #context: DispatchContext
  readonly #ledger: PartitionLedger

  constructor (context: DispatchContext, ledger: PartitionLedger) {
    this.#context = context
    this.#ledger = ledger
  }

  /** Ends the request. A later, better known outcome replaces `unknown`; nothing replaces the others. */
  end (request: HomeRequest, outcome: RequestOutcome): void {
    const previous = request.outcome
    if (previous !== undefined && previous.outcome !== 'unknown') return
    if (!request.applyEvent('end')) return
    request.outcome = outcome
    request.endedAtMs = this.#context.clock.readMonotonicMs()
    request.span?.end({ outcome: outcome.outcome, attempt: request.attempt })
    request.span = undefined
    if (outcome.outcome !== 'unknown') request.payload = undefined
    this.#context.metrics.incrementCounter('requests.ended', 1, { outcome: outcome.outcome, kind: request.facts.kind })
    this.#context.logger.logInfo(previous === undefined ? DISPATCH_EVENTS.requestEnded : DISPATCH_EVENTS.requestOutcomeChanged, {
      requestId: request.requestId, outcome: outcome.outcome, attempt: request.attempt
    })
    if (request.hasIntent || request.isDurable) void this.record(request)
    this.#notifyWaiters(request, outcome)
  }

  /** Ends the request as not run, as its earlier attempt ended where one ran, or as unknown where one may have been sent. */
  endNotRun (request: HomeRequest, reason: string, retryAfterMs?: number): void {
    const { requestId, fallback } = request
    if (fallback !== undefined) this.end(request, fallback)
    else if (request.mayHaveRun) this.end(request, { requestId, outcome: 'unknown', reason: `${reason}; an earlier attempt may have run` })
    else this.end(request, { requestId, outcome: 'notRun', reason, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) })
  }

  /** Writes the outcome to the ledger. True once it is durable. */
  async record (request: HomeRequest): Promise<boolean> {
    if (request.outcome === undefined) return false
    if (this.isRecorded(request)) return true
    request.isDurable = true
    return await this.#ledger.append(this.#buildEntry(request, request.outcome)) === COMMIT_RESULTS.committed
  }

  isRecorded (request: HomeRequest): boolean {
    const recorded = this.#ledger.state.findRecord(request.requestId)?.outcome?.outcome.outcome
    return recorded !== undefined && recorded === request.outcome?.outcome
  }

  #buildEntry (request: HomeRequest, outcome: RequestOutcome): OutcomeEntry {
    const common = {
      type: 'outcome' as const,
      requestId: request.requestId,
      fingerprint: request.facts.fingerprint,
      isCancelled: request.isCancelled,
      endedWallMs: this.#context.clock.readWallMs()
    }
    if (outcome.outcome !== 'completed') return { ...common, outcome }
    const text = JSON.stringify(outcome.result ?? null)
    if (text.length <= LEDGER_RESULT_MAX_BYTES) return { ...common, outcome }
    return { ...common, outcome: { ...outcome, result: null }, resultDigest: createHash('sha256').update(text).digest('hex') }
  }

  #notifyWaiters (request: HomeRequest, outcome: RequestOutcome): void {
    for (const waiter of request.waiters) {
      this.#context.network.sendNotification(waiter, PEER_MESSAGE_KINDS.outcome, { outcome }, request.trace)
    }
    request.waiters.clear()
  }
}
