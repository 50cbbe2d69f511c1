import type { Clock } from '@hibiscusledge/runtime/clock.js'

/** Runs actions in order, at once or, when there have been too many in this turn of the event loop, in one of the next turns. */
export class PacedQueue {
  readonly #clock: Clock
  readonly #actionsPerTurn: number
  #waiting: (() => void)[] = []
  #usedInTurn = 0
  #isScheduled = false

  constructor (clock: Clock, actionsPerTurn: number) {
    this.#clock = clock
    this.#actionsPerTurn = actionsPerTurn
  }

  run (action: () => void): void {
    this.#schedule()
    if (this.#usedInTurn >= this.#actionsPerTurn || this.#waiting.length > 0) {
      this.#waiting.push(action)
      return
    }
    this.#usedInTurn++
    action()
  }

  #schedule (): void {
    if (this.#isScheduled) return
    this.#isScheduled = true
    this.#clock.startTimer(0, () => {
      this.#isScheduled = false
      this.#startTurn()
    })
  }

  #startTurn (): void {
    const actions = this.#waiting.splice(0, this.#actionsPerTurn)
    this.#usedInTurn = actions.length
    for (const action of actions) action()
    if (actions.length > 0) this.#schedule()
  }
}
