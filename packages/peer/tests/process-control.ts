import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'

/** Controls one simulated process: its callbacks are deferred while it is paused and dropped once it is killed. */
export class ProcessControl implements Clock {
  readonly #clock: Clock
  #state: 'running' | 'paused' | 'killed' = 'running'
  #deferred: (() => void)[] = []

  constructor (clock: Clock) {
    this.#clock = clock
  }

  isRunning (): boolean { return this.#state === 'running' }
  isKilled (): boolean { return this.#state === 'killed' }
  kill (): void { this.#state = 'killed' }
  pause (): void { if (this.#state === 'running') this.#state = 'paused' }

  /** Runs the deferred callbacks, in reverse order with `isInputFirst`: a real process may handle received input before due timers. */
  resume (isInputFirst: boolean): void {
    if (this.#state !== 'paused') return
    this.#state = 'running'
    const deferred = isInputFirst ? this.#deferred.reverse() : this.#deferred
    this.#deferred = []
    for (const callback of deferred) callback()
  }

  run (callback: () => void): void {
    if (this.#state === 'running') callback()
    else if (this.#state === 'paused') this.#deferred.push(callback)
  }

  readMonotonicMs (): number { return this.#clock.readMonotonicMs() }
  readWallMs (): number { return this.#clock.readWallMs() }

  startTimer (delayMs: number, callback: () => void): Timer {
    let isCancelled = false
    const timer = this.#clock.startTimer(delayMs, () => this.run(() => { if (!isCancelled) callback() }))
    return { cancel: () => { isCancelled = true; timer.cancel() } }
  }

  startInterval (periodMs: number, callback: () => void): Timer {
    let current: Timer
    const schedule = (): void => {
      current = this.startTimer(periodMs, () => {
        schedule()
        callback()
      })
    }
    schedule()
    return { cancel: () => current.cancel() }
  }
}
