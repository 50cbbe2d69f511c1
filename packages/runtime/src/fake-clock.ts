import type { Clock, Timer } from './clock.js'
import { startRepeatingTimer } from './repeating-timer.js'

interface PendingTimer {
  dueMs: number
  order: number
  callback: () => void
}

/** A clock for tests that moves only on `advanceBy` and `skipBy`. Timers run in order of their due times. */
export class FakeClock implements Clock {
  #nowMs: number
  readonly #wallOffsetMs: number
  #nextOrder = 0
  readonly #timers = new Set<PendingTimer>()

  constructor (startMs = 0, wallStartMs = 1_700_000_000_000) {
    this.#nowMs = startMs
    this.#wallOffsetMs = wallStartMs - startMs
  }

  readMonotonicMs (): number {
    return this.#nowMs
  }

  readWallMs (): number {
    return this.#nowMs + this.#wallOffsetMs
  }

  startTimer (delayMs: number, callback: () => void): Timer {
    const timer: PendingTimer = { dueMs: this.#nowMs + Math.max(0, delayMs), order: this.#nextOrder++, callback }
    this.#timers.add(timer)
    return { cancel: () => { this.#timers.delete(timer) } }
  }

  startInterval (periodMs: number, callback: () => void): Timer {
    return startRepeatingTimer(this, periodMs, callback)
  }

  /** Advances the time and runs every timer that becomes due; pending promises settle between timers. */
  async advanceBy (durationMs: number): Promise<void> {
    const endMs = this.#nowMs + durationMs
    for (let timer = this.#findNextTimer(endMs); timer !== undefined; timer = this.#findNextTimer(endMs)) {
      this.#timers.delete(timer)
      this.#nowMs = Math.max(this.#nowMs, timer.dueMs)
      timer.callback()
      await this.#settlePromises()
    }
    this.#nowMs = endMs
    await this.#settlePromises()
  }

  /** Advances the time without running timers, as if the process were suspended and resumed. */
  skipBy (durationMs: number): void {
    this.#nowMs += durationMs
  }

  #findNextTimer (endMs: number): PendingTimer | undefined {
    let next: PendingTimer | undefined
    for (const timer of this.#timers) {
      if (timer.dueMs > endMs) continue
      if (next === undefined || timer.dueMs < next.dueMs || (timer.dueMs === next.dueMs && timer.order < next.order)) next = timer
    }
    return next
  }

  async #settlePromises (): Promise<void> {
    for (let turn = 0; turn < 3; turn++) await new Promise<void>((resolve) => { setImmediate(resolve) })
  }
}
