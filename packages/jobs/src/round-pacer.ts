import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'

/** Minimum delay before a requested round, so that events close together share one. */
const MINIMUM_ROUND_PERIOD_MS = 6
/**
 * Pause after a round, as a multiple of the shorter of the last two rounds. It leaves most of the processor time to answers
 * and lease renewals. A single long round, such as the first one of a process, doesn't predict the duration of the next.
 */
const PAUSE_FACTOR = 4

/** Runs placement rounds on request and limits their share of the processor time by pauses. */
export class RoundPacer {
  readonly #clock: Clock
  readonly #runRound: () => void
  #timer: Timer | undefined
  #notBeforeMs = 0
  #lastDurationMs = 0
  #isStopped = false

  constructor (clock: Clock, runRound: () => void) {
    this.#clock = clock
    this.#runRound = runRound
  }

  request (): void {
    if (this.#timer !== undefined || this.#isStopped) return
    const delayMs = Math.max(MINIMUM_ROUND_PERIOD_MS, this.#notBeforeMs - this.#clock.readMonotonicMs())
    this.#timer = this.#clock.startTimer(delayMs, () => this.#run())
  }

  stop (): void {
    this.#isStopped = true
    this.#timer?.cancel()
  }

  #run (): void {
    this.#timer = undefined
    const startedAtMs = this.#clock.readMonotonicMs()
    this.#runRound()
    const endedAtMs = this.#clock.readMonotonicMs()
    const durationMs = endedAtMs - startedAtMs
    this.#notBeforeMs = endedAtMs + Math.min(durationMs, this.#lastDurationMs) * PAUSE_FACTOR
    this.#lastDurationMs = durationMs
  }
}
