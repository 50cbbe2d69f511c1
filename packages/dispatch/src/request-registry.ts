import type { RequestId } from '@hibiscusledge/runtime/identifiers.js'
import type { CoordinatedRequest } from './coordinated-request.js'

/** Retention period of the outcomes of requests without ledger entries. */
const UNRECORDED_RETENTION_MS = 120_000

/** The requests of one partition: those in progress, and ended ones until their retention period has passed. */
export class RequestRegistry {
  readonly #requests = new Map<RequestId, CoordinatedRequest>()
  readonly #active = new Set<CoordinatedRequest>()
  /** Ended requests, oldest end first, separated by retention period. */
  readonly #endedRecorded = new Set<CoordinatedRequest>()
  readonly #endedUnrecorded = new Set<CoordinatedRequest>()
  readonly #recordedRetentionMs: number

  constructor (recordedRetentionMs: number) {
    this.#recordedRetentionMs = recordedRetentionMs
  }

  /** Adds a request, or makes an ended one active again. */
  add (request: CoordinatedRequest): void {
    this.#requests.set(request.requestId, request)
    this.#endedRecorded.delete(request)
    this.#endedUnrecorded.delete(request)
    this.#active.add(request)
  }

  find (requestId: RequestId): CoordinatedRequest | undefined {
    return this.#requests.get(requestId)
  }

  listActive (): Iterable<CoordinatedRequest> {
    return this.#active
  }

  countActive (): number {
    return this.#active.size
  }

  /** Marks requests with an outcome as ended, and removes ended ones whose retention period has passed. */
  pruneEnded (nowMs: number): void {
    for (const request of this.#active) if (request.outcome !== undefined) this.#markEnded(request)
    this.#pruneBefore(this.#endedRecorded, nowMs - this.#recordedRetentionMs)
    this.#pruneBefore(this.#endedUnrecorded, nowMs - UNRECORDED_RETENTION_MS)
  }

  #markEnded (request: CoordinatedRequest): void {
    this.#active.delete(request)
    const ended = request.hasLedgerEntry || request.hasIntent ? this.#endedRecorded : this.#endedUnrecorded
    ended.add(request)
  }

  #pruneBefore (ended: Set<CoordinatedRequest>, endedBeforeMs: number): void {
    for (const request of ended) {
      if (request.endedAtMs > endedBeforeMs) return
      ended.delete(request)
      this.#requests.delete(request.requestId)
    }
  }
}
