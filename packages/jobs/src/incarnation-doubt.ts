import { BEFORE_ALL_MESSAGES, type MessageOrder, type MessagePosition } from './message-order.js'

/** Whether the target may be another incarnation than the one that reported last. Only a report to a later poll settles that. */
export class IncarnationDoubt {
  readonly #messages: MessageOrder
  #suspectedAt: MessagePosition = BEFORE_ALL_MESSAGES
  #lostAt: MessagePosition = BEFORE_ALL_MESSAGES
  #newestPollSentAt: MessagePosition = BEFORE_ALL_MESSAGES

  constructor (messages: MessageOrder) {
    this.#messages = messages
  }

  /** Whether another incarnation has answered an order. */
  isRestartSuspected (): boolean {
    return this.#suspectedAt > this.#newestPollSentAt
  }

  /** Whether another incarnation has answered an order, or a poll had no answer. */
  isInDoubt (): boolean {
    return this.isRestartSuspected() || this.#lostAt > this.#newestPollSentAt
  }

  /** Records that another incarnation has answered. Returns whether that wasn't suspected yet. */
  suspectRestart (): boolean {
    const isNew = !this.isRestartSuspected()
    this.#suspectedAt = this.#messages.advance()
    return isNew
  }

  recordLoss (): void {
    this.#lostAt = this.#messages.advance()
  }

  recordReport (pollSentAt: MessagePosition): void {
    this.#newestPollSentAt = Math.max(this.#newestPollSentAt, pollSentAt)
  }
}
