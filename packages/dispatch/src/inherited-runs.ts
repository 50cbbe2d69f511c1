import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import type { RequestId } from '@hibiscusledge/runtime/identifiers.js'
import { RUN_RESULTS } from '@hibiscusledge/scheduling/decision.js'
import type { RecoveredStart, ShardScheduler } from '@hibiscusledge/scheduling/shard-scheduler.js'

/** A failed owner reports no ends, so its runs no longer count as running after this time. */
const RUN_EXPIRY_MS = 60_000
const SWEEP_PERIOD_MS = 1000

/** Runs that an earlier owner has sent without an intent and that still use capacity of this shard. */
export class InheritedRuns {
  readonly #scheduler: ShardScheduler
  readonly #clock: Clock
  readonly #onReleased: () => void
  readonly #runs = new Map<RequestId, { readonly attempt: number, readonly start: RecoveredStart }>()
  readonly #timer: Timer

  constructor (scheduler: ShardScheduler, clock: Clock, onReleased: () => void) {
    this.#scheduler = scheduler
    this.#clock = clock
    this.#onReleased = onReleased
    this.#timer = clock.startInterval(SWEEP_PERIOD_MS, () => { this.#expireRuns() })
  }

  add (attempt: number, start: RecoveredStart): void {
    if (this.#runs.has(start.item.requestId)) return
    this.#runs.set(start.item.requestId, { attempt, start })
    this.#scheduler.recoverStart(start)
  }

  release (requestId: RequestId, attempt: number): void {
    const run = this.#runs.get(requestId)
    if (run?.attempt !== attempt) return
    this.#runs.delete(requestId)
    const nowMs = this.#clock.readMonotonicMs()
    run.start.targets.forEach((_target, index) => { this.#scheduler.releaseTask(requestId, index, RUN_RESULTS.withdrawn, nowMs) })
    this.#onReleased()
  }

  stop (): void {
    this.#timer.cancel()
  }

  #expireRuns (): void {
    const nowMs = this.#clock.readMonotonicMs()
    for (const [requestId, { attempt, start }] of this.#runs) {
      if (nowMs - start.startedAtMs > RUN_EXPIRY_MS) this.release(requestId, attempt)
    }
  }
}
