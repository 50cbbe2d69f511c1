import { createHash } from 'node:crypto'
import { PEER_MESSAGE_KINDS } from '@hibiscusledge/peer/peer-message-kinds.js'
import type { DispatchContext } from './dispatch-context.js'
import { DISPATCH_EVENTS } from './dispatch-events.js'
import type { CoordinatedRequest } from './coordinated-request.js'
import type { OutcomeEntry } from './ledger-entry.js'
import { COMMIT_RESULTS, type PartitionLedger } from './partition-ledger.js'
import type { RequestOutcome } from './request-outcome.js'

/** Results up to this size are stored in the ledger. Larger ones are replaced by their digest. */
export const LEDGER_RESULT_MAX_BYTES = 16 * 1024

/** Ends requests: sets the outcome, records it if the ledger has entries of the request, and notifies waiting entry instances. */
export class OutcomeRecorder {
  readonly #context: DispatchContext
  readonly #ledger: PartitionLedger

  constructor (context: DispatchContext, ledger: PartitionLedger) {
    this.#context = context
    this.#ledger = ledger
  }

  /** Ends the request. A later outcome replaces `unknown`, but no other outcome. */
  end (request: CoordinatedRequest, outcome: RequestOutcome): void {
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
    if (request.hasIntent || request.hasLedgerEntry) void this.record(request)
    this.#notifyWaiters(request, outcome)
  }

  /**
   * Ends a request that gets no further attempt. The outcome is that of an earlier attempt which ran, else `unknown` when an
   * earlier attempt may have been sent, else `notRun`.
   */
  abort (request: CoordinatedRequest, reason: string, retryAfterMs?: number): void {
    const { requestId, fallbackOutcome: fallback } = request
    if (fallback !== undefined) this.end(request, fallback)
    else if (request.mayHaveRun) this.end(request, { requestId, outcome: 'unknown', reason: `${reason}; an earlier attempt may have run` })
    else this.end(request, { requestId, outcome: 'notRun', reason, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) })
  }

  /** Writes the outcome to the ledger. Returns whether it is durable. */
  async record (request: CoordinatedRequest): Promise<boolean> {
    if (request.outcome === undefined) return false
    if (this.isRecorded(request)) return true
    request.hasLedgerEntry = true
    return await this.#ledger.append(this.#buildEntry(request, request.outcome)) === COMMIT_RESULTS.committed
  }

  isRecorded (request: CoordinatedRequest): boolean {
    const recorded = this.#ledger.state.findRecord(request.requestId)?.outcome?.outcome.outcome
    return recorded !== undefined && recorded === request.outcome?.outcome
  }

  #buildEntry (request: CoordinatedRequest, outcome: RequestOutcome): OutcomeEntry {
    const common = {
      type: 'outcome' as const,
      requestId: request.requestId,
      fingerprint: request.facts.fingerprint,
      isCancelled: request.isCancelled,
      endedWallMs: this.#context.clock.readWallMs()
    }
    if (outcome.outcome !== 'completed') return { ...common, outcome }
    const text = JSON.stringify(outcome.result ?? null)
    if (Buffer.byteLength(text) <= LEDGER_RESULT_MAX_BYTES) return { ...common, outcome }
    return { ...common, outcome: { ...outcome, result: null }, resultDigest: createHash('sha256').update(text).digest('hex') }
  }

  #notifyWaiters (request: CoordinatedRequest, outcome: RequestOutcome): void {
    for (const waiter of request.waiters) {
      this.#context.network.sendNotification(waiter, PEER_MESSAGE_KINDS.outcome, { outcome }, request.trace)
    }
    request.waiters.clear()
  }
}
