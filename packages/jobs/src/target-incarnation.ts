import { BEFORE_ALL_MESSAGES, type MessagePosition } from './message-order.js'
import { RunEndTracker } from './run-end-tracker.js'
import { TargetClock } from './target-clock.js'
import type { TargetReport } from './target-gateway.js'

/** Difference, in milliseconds, that rounding can make between two readings of a target's clock. */
const CLOCK_ROUNDING_MS = 1

/**
 * One incarnation of a target, from a start to the next. Its clock readings, the numbers of its ended runs and its answers to stop
 * orders mean nothing in another one, so each is kept here and dropped together when the target has restarted.
 */
export class TargetIncarnation {
  readonly startedAtMs: number
  /** Position of the report that the owner recognized this incarnation by. */
  readonly recognizedAt: MessagePosition
  readonly clock = new TargetClock()
  readonly ends: RunEndTracker
  #lastReportReceived: MessagePosition = BEFORE_ALL_MESSAGES
  #newestReportClockMs = Number.NEGATIVE_INFINITY

  constructor (startedAtMs: number, recognizedAt: MessagePosition, rememberedEnds: number) {
    this.startedAtMs = startedAtMs
    this.recognizedAt = recognizedAt
    this.ends = new RunEndTracker(rememberedEnds)
  }

  /**
   * Whether a report of another incarnation is from a later one, which is sure if its poll was sent after this one's last report.
   * The starts don't tell, since the target's wall clock may have been set back between them.
   */
  isSucceededBy (pollSent: MessagePosition): boolean {
    return pollSent > this.#lastReportReceived
  }

  /** Records a report of this incarnation. Returns whether the target wrote it after all reports recorded before. */
  recordReport (report: TargetReport, pollSent: MessagePosition, received: MessagePosition, nowMs: number): boolean {
    this.clock.update(report.targetClockMs, nowMs)
    const isNewest = report.targetClockMs > this.#newestReportClockMs || pollSent > this.#lastReportReceived
    this.#newestReportClockMs = Math.max(this.#newestReportClockMs, report.targetClockMs)
    this.#lastReportReceived = received
    return isNewest
  }

  /** Whether an answer to a message sent at `sentAtMs` can't be from this incarnation, since its clock was ahead of this reading. */
  isClockAhead (targetClockMs: number, sentAtMs: number): boolean {
    const earliestMs = this.clock.estimate(sentAtMs)
    return earliestMs !== undefined && targetClockMs < earliestMs - CLOCK_ROUNDING_MS
  }
}
