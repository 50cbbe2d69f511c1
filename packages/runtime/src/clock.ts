/** A pending timer of a {@link Clock}. */
export interface Timer {
  cancel (): void
}

/** Source of time. Processes use `SystemClock`, tests `FakeClock`. */
export interface Clock {
  /** Returns the milliseconds of a clock that never goes back and keeps running while the process is suspended. */
  readMonotonicMs (): number
  /** Returns the milliseconds since the Unix epoch. Only for display and for deadlines that are passed between processes. */
  readWallMs (): number
  /** Calls `callback` once after `delayMs`. */
  startTimer (delayMs: number, callback: () => void): Timer
  /** Calls `callback` every `periodMs` until cancelled. */
  startInterval (periodMs: number, callback: () => void): Timer
}
