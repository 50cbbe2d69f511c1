/** A pending timer of a {@link Clock}. */
export interface Timer {
  cancel (): void
}

/** Source of time. Tests pass a fake; the processes pass `SystemClock`. */
export interface Clock {
  /** Milliseconds on a clock that never goes back and continues while the process is stopped. */
  readMonotonicMs (): number
  /** Milliseconds since the Unix epoch. Only for display and for deadlines that cross processes. */
  readWallMs (): number
  /** Calls `callback` once after `delayMs`. */
  startTimer (delayMs: number, callback: () => void): Timer
  /** Calls `callback` every `periodMs` until cancelled. */
  startInterval (periodMs: number, callback: () => void): Timer
}
