import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'

/** Starts looks at a target one at a time: of several requests for the next one the earliest counts. */
export class LookTimer {
  readonly #clock: Clock
  readonly #look: () => Promise<void>
  #timer: Timer | undefined
  #nextAtMs = 0
  #isLooking = false
  #isStopped = false

  constructor (clock: Clock, look: () => Promise<void>) {
    this.#clock = clock
    this.#look = look
  }

  schedule (delayMs: number): void {
    if (this.#isStopped) return
    const dueMs = this.#clock.readMonotonicMs() + delayMs
    if (this.#timer !== undefined && this.#nextAtMs <= dueMs) return
    this.#timer?.cancel()
    this.#nextAtMs = dueMs
    this.#timer = this.#clock.startTimer(delayMs, () => {
      this.#timer = undefined
      void this.#run()
    })
  }

  stop (): void {
    this.#isStopped = true
    this.#timer?.cancel()
  }

  async #run (): Promise<void> {
    if (this.#isLooking || this.#isStopped) return
    this.#isLooking = true
    try {
      await this.#look()
    } finally {
      this.#isLooking = false
    }
  }
}
