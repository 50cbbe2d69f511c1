import type { Clock } from '@hibiscusledge/runtime/clock.js'
import { UNKNOWN_START_MS, type TargetDescription } from './target-gateway.js'

/** Number of earlier incarnations whose entries are recognized as outdated. */
const REMEMBERED_STARTS = 5

/** What the directory says of one target, which may be older or newer than the target's own reports. */
export class TargetListing {
  readonly #clock: Clock
  #description: TargetDescription
  #isListed = true
  #leavesAtMs: number | undefined
  /** Start of the incarnation that reported last; undefined before the first report. */
  #reportedStartMs: number | undefined
  /** Starts of the incarnations that reported before, latest first. */
  #earlierStartsMs: readonly number[] = []

  constructor (description: TargetDescription, clock: Clock) {
    this.#description = description
    this.#clock = clock
  }

  readDescription (): TargetDescription {
    return this.#description
  }

  isListed (): boolean {
    return this.#isListed
  }

  /** Whether the target is listed and not draining. */
  isActive (): boolean {
    return this.#isListed && !this.#description.isDraining
  }

  /** Whether the description is that of another incarnation than the one that reported last, which may be of another kind. */
  isOfAnotherIncarnation (): boolean {
    const { startedAtMs } = this.#description
    return startedAtMs !== undefined && this.#reportedStartMs !== undefined && startedAtMs !== this.#reportedStartMs
  }

  /** Whether the description is that of an incarnation that hasn't reported yet. */
  isOfLaterIncarnation (): boolean {
    return this.isOfAnotherIncarnation() && !this.#earlierStartsMs.includes(this.#description.startedAtMs ?? UNKNOWN_START_MS)
  }

  /** Returns the monotonic time before which a draining target doesn't leave; undefined when it isn't draining or the time is not known. */
  readLeavesAtMs (): number | undefined {
    return this.#leavesAtMs
  }

  /** Applies a listing of the target. Returns whether the target should be polled at once: it has moved, or may have restarted. */
  update (description: TargetDescription): boolean {
    const previous = this.#description
    const { isDraining, remainingMs } = description
    if (!isDraining || remainingMs === undefined) this.#leavesAtMs = undefined
    else if (remainingMs !== previous.remainingMs) this.#leavesAtMs = this.#clock.readMonotonicMs() + remainingMs
    this.#description = description
    this.#isListed = true
    return description.address !== previous.address || this.isOfAnotherIncarnation()
  }

  markUnlisted (): void {
    this.#isListed = false
  }

  recordReportedStart (startedAtMs: number): void {
    if (startedAtMs === UNKNOWN_START_MS || startedAtMs === this.#reportedStartMs) return
    if (this.#reportedStartMs !== undefined) {
      this.#earlierStartsMs = [this.#reportedStartMs, ...this.#earlierStartsMs].slice(0, REMEMBERED_STARTS)
    }
    this.#reportedStartMs = startedAtMs
  }
}
