import { BEFORE_ALL_MESSAGES, type MessageOrder, type MessagePosition } from './message-order.js'
import { TargetIncarnation } from './target-incarnation.js'
import type { TargetReport } from './target-gateway.js'

/** Handles what a tracker finds out about the incarnations of a target. */
export interface IncarnationHandler {
  /** A report came from a later incarnation than the one that had reported before. */
  onRestarted (report: TargetReport, previous: TargetIncarnation): void
  /** An order was answered by an incarnation that hasn't reported yet. Called again for each such answer. */
  onUnknownIncarnation (targetClockMs: number, isNew: boolean): void
}

/**
 * Tells which incarnation of a target has reported last, and whether the target may be another one by now. Only a report to a poll that
 * was sent after the doubt arose settles it.
 */
export class IncarnationTracker {
  readonly #messages: MessageOrder
  readonly #rememberedEnds: number
  readonly #handler: IncarnationHandler
  #current: TargetIncarnation | undefined
  #suspectedAt: MessagePosition = BEFORE_ALL_MESSAGES
  #lostAt: MessagePosition = BEFORE_ALL_MESSAGES
  #newestPollSentAt: MessagePosition = BEFORE_ALL_MESSAGES

  constructor (messages: MessageOrder, rememberedEnds: number, handler: IncarnationHandler) {
    this.#messages = messages
    this.#rememberedEnds = rememberedEnds
    this.#handler = handler
  }

  /** Returns the incarnation that reported last; undefined before the first report. */
  readCurrent (): TargetIncarnation | undefined {
    return this.#current
  }

  /** Returns the incarnation that wrote a report; undefined when that one may have ended since. */
  resolve (report: TargetReport, pollSentAt: MessagePosition, receivedAt: MessagePosition): TargetIncarnation | undefined {
    const previous = this.#current
    const isKnown = previous?.startedAtMs === report.startedAtMs
    if (previous !== undefined && !isKnown && !previous.isSucceededBy(pollSentAt)) return undefined
    this.#newestPollSentAt = Math.max(this.#newestPollSentAt, pollSentAt)
    if (isKnown) return previous
    const current = new TargetIncarnation(report.startedAtMs, receivedAt, this.#rememberedEnds)
    this.#current = current
    if (previous !== undefined) this.#handler.onRestarted(report, previous)
    return current
  }

  /** Records the clock reading of an answer to an order that was sent at `sentAtMs`, while `incarnation` was the last to report. */
  recordReading (targetClockMs: number, sentAtMs: number, receivedAtMs: number, incarnation: TargetIncarnation): void {
    if (incarnation !== this.#current) return
    if (!incarnation.isClockAhead(targetClockMs, sentAtMs)) return incarnation.clock.update(targetClockMs, receivedAtMs)
    this.#handler.onUnknownIncarnation(targetClockMs, this.suspectRestart())
  }

  /** Records that another incarnation has answered. Returns whether that wasn't suspected yet. */
  suspectRestart (): boolean {
    const isNew = !this.isRestartSuspected()
    this.#suspectedAt = this.#messages.advance()
    return isNew
  }

  /** Records that a poll got no answer. */
  recordLoss (): void {
    this.#lostAt = this.#messages.advance()
  }

  /** Whether another incarnation has answered an order. */
  isRestartSuspected (): boolean {
    return this.#suspectedAt > this.#newestPollSentAt
  }

  /** Whether another incarnation has answered an order, or a poll had no answer. */
  isInDoubt (): boolean {
    return this.isRestartSuspected() || this.#lostAt > this.#newestPollSentAt
  }
}
