import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'

/** Rounds of placement are at least this far apart, so that events close together share one. */
const MINIMUM_ROUND_PERIOD_MS = 6
/**
 * Pause after a round in parts of the shorter of the last two, so that rounds leave most of the processor to answers and
 * renewals. A single long round, as the first one of a process is, says little about the next.
 */
const PAUSE_FACTOR = 4

/** Runs rounds of placement when asked to, with pauses between them. */
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
