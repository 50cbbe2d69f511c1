import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { RequestId } from '@hibiscusledge/runtime/identifiers.js'

/** Longer than any message between instances can be delayed: links close after 2 s without a message. */
const ENDED_ATTEMPT_RETENTION_MS = 60_000

export interface EndedAttempt {
  readonly attempt: number
  /** False only when it is certain that this shard owner did not send the attempt and never will. */
  readonly mayHaveBeenSent: boolean
  readonly endedAtMs: number
}

/** The latest ended attempt of each request of a shard, so that a late or duplicated message does not start it again. */
export class EndedAttempts {
  readonly #clock: Clock
  readonly #attempts = new Map<RequestId, EndedAttempt>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  find (requestId: RequestId): EndedAttempt | undefined {
    return this.#attempts.get(requestId)
  }

  add (requestId: RequestId, attempt: number, mayBeSent: boolean): void {
    const known = this.#attempts.get(requestId)
    if (known !== undefined && known.attempt >= attempt) return
    this.#attempts.delete(requestId)
    const nowMs = this.#clock.readMonotonicMs()
    this.#attempts.set(requestId, { attempt, mayHaveBeenSent: mayBeSent, endedAtMs: nowMs })
    for (const [oldestId, oldest] of this.#attempts) {
      if (nowMs - oldest.endedAtMs <= ENDED_ATTEMPT_RETENTION_MS) return
      this.#attempts.delete(oldestId)
    }
  }
}
