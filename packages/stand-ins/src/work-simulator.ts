import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'

/** Work in progress. */
export interface SimulatedWork {
  /** Ends the work early and returns the remaining milliseconds at full speed. Does not call its end callback. */
  stop (): number
  /** Sets the speed as a fraction of full speed, which is 1. */
  setSpeed (speed: number): void
}

interface RunningWork {
  remainingMs: number
  speed: number
  resumedAtMs: number
  timer: Timer | undefined
  readonly onEnd: () => void
}

const MAX_TIMER_MS = 2 ** 31 - 1
const PROGRESS_STEP_MS = 10

/** Simulates work of given durations, can freeze all of it, and keeps a counter of progress that never decreases. */
export class WorkSimulator {
  readonly #clock: Clock
  readonly #running = new Set<RunningWork>()
  #isFrozen = false
  #busyMs = 0
  #busySinceMs: number | undefined
  #endedCount = 0

  constructor (clock: Clock) {
    this.#clock = clock
  }

  countRunning (): number {
    return this.#running.size
  }

  /** Returns a counter that grows while work runs, also when none ends, and does not change while frozen or idle. */
  readProgress (): number {
    this.#updateBusyTime()
    return Math.floor(this.#busyMs / PROGRESS_STEP_MS) + this.#endedCount
  }

  start (durationMs: number, onEnd: () => void): SimulatedWork {
    this.#updateBusyTime()
    const work: RunningWork = { remainingMs: durationMs, speed: 1, resumedAtMs: this.#clock.readMonotonicMs(), timer: undefined, onEnd }
    this.#running.add(work)
    this.#updateBusyTime()
    this.#resume(work)
    return {
      stop: () => {
        this.#pause(work)
        this.#remove(work)
        return work.remainingMs
      },
      setSpeed: (speed) => {
        this.#pause(work)
        work.speed = speed
        this.#resume(work)
      }
    }
  }

  /** Ends all work without calling the end callbacks. */
  stop (): void {
    for (const work of this.#running) this.#pause(work)
    this.#running.clear()
  }

  setFrozen (isFrozen: boolean): void {
    this.#updateBusyTime()
    for (const work of this.#running) this.#pause(work)
    this.#isFrozen = isFrozen
    for (const work of this.#running) this.#resume(work)
    this.#updateBusyTime()
  }

  #resume (work: RunningWork): void {
    if (this.#isFrozen || !this.#running.has(work)) return
    work.resumedAtMs = this.#clock.readMonotonicMs()
    work.timer = this.#clock.startTimer(Math.min(MAX_TIMER_MS, work.remainingMs / work.speed), () => {
      this.#remove(work)
      this.#endedCount++
      work.onEnd()
    })
  }

  #pause (work: RunningWork): void {
    if (work.timer === undefined) return
    work.timer.cancel()
    work.timer = undefined
    work.remainingMs = Math.max(0, work.remainingMs - (this.#clock.readMonotonicMs() - work.resumedAtMs) * work.speed)
  }

  #remove (work: RunningWork): void {
    this.#updateBusyTime()
    this.#running.delete(work)
    this.#updateBusyTime()
  }

  #updateBusyTime (): void {
    const nowMs = this.#clock.readMonotonicMs()
    if (this.#busySinceMs !== undefined) this.#busyMs += nowMs - this.#busySinceMs
    this.#busySinceMs = this.#running.size > 0 && !this.#isFrozen ? nowMs : undefined
  }
}
