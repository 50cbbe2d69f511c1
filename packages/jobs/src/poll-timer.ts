import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'

/** Runs the polls of a target one at a time. Of several requests for the next poll, the earliest one takes effect. */
export class PollTimer {
  readonly #clock: Clock
  readonly #poll: () => Promise<void>
  #timer: Timer | undefined
  #dueMs = 0
  #isPolling = false
  #isStopped = false

  constructor (clock: Clock, poll: () => Promise<void>) {
    this.#clock = clock
    this.#poll = poll
  }

  schedule (delayMs: number): void {
    if (this.#isStopped) return
    const dueMs = this.#clock.readMonotonicMs() + delayMs
    if (this.#timer !== undefined && this.#dueMs <= dueMs) return
    this.#timer?.cancel()
    this.#dueMs = dueMs
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
    if (this.#isPolling || this.#isStopped) return
    this.#isPolling = true
    try {
      await this.#poll()
    } finally {
      this.#isPolling = false
    }
  }
}
