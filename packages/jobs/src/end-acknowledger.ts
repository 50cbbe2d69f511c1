import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { IncarnationTracker } from './incarnation-tracker.js'
import type { SessionRuns } from './session-runs.js'
import type { TargetListing } from './target-listing.js'
import { RUN_PHASES } from './task-run.js'

/** Acknowledges no ended runs. */
export const NO_ENDS = 0
/** Longest time for which ends stay unacknowledged because start orders are unanswered. */
const MAXIMUM_HOLD_MS = 2_000

/** State of a target session that decides whether ended runs may be acknowledged. */
export interface AcknowledgedSession {
  readonly clock: Clock
  readonly incarnations: IncarnationTracker
  readonly listing: TargetListing
  readonly runs: SessionRuns
}

/**
 * Decides up to which number a target may drop its ended runs. Another incarnation that got the poll would drop as many of its own, so
 * none are acknowledged while the target may have restarted, or may have run an order since its last report.
 */
export class EndAcknowledger {
  /** Whether the newest report left ended runs out. */
  hasMoreEnds = false
  readonly #session: AcknowledgedSession
  /** Monotonic time since which an acknowledgement is held back; undefined while there is none to send. */
  #heldSinceMs: number | undefined

  constructor (session: AcknowledgedSession) {
    this.#session = session
  }

  /** Returns the number to acknowledge in a poll that is sent now. */
  findDroppableEnd (): number {
    const { clock, incarnations, listing } = this.#session
    const end = incarnations.readCurrent()?.ends.readDroppableEnd() ?? NO_ENDS
    if (end === NO_ENDS || incarnations.isInDoubt() || listing.isOfLaterIncarnation()) return NO_ENDS
    const nowMs = clock.readMonotonicMs()
    this.#heldSinceMs ??= nowMs
    if (this.#isEndPossiblyUnseen() && nowMs - this.#heldSinceMs < MAXIMUM_HOLD_MS) return NO_ENDS
    this.#heldSinceMs = undefined
    return end
  }

  #isEndPossiblyUnseen (): boolean {
    const { runs } = this.#session
    if (runs.hasUnansweredStart(RUN_PHASES.sent)) return true
    // A run whose end the target has left out is settled only once the others are dropped.
    return runs.hasUnansweredStart(RUN_PHASES.unsettled) && !this.hasMoreEnds
  }
}
