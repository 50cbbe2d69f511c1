/** Position of a message or of a conclusion among all of a session's; larger ones came later. */
export type MessagePosition = number

/** Comes before every message of a session. */
export const BEFORE_ALL_MESSAGES: MessagePosition = Number.NEGATIVE_INFINITY

/** Numbers the messages that a session sends and receives, so that their order doesn't depend on a clock. */
export class MessageOrder {
  #last: MessagePosition = 0

  advance (): MessagePosition {
    return ++this.#last
  }
}
