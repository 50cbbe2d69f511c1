import type { Clock, Timer } from './clock.js'

/** Clock of the process. */
export class SystemClock implements Clock {
  readMonotonicMs (): number {
    return performance.now()
  }

  readWallMs (): number {
    return Date.now()
  }

  startTimer (delayMs: number, callback: () => void): Timer {
    const handle = setTimeout(callback, Math.max(0, delayMs))
    return { cancel: () => clearTimeout(handle) }
  }

  startInterval (periodMs: number, callback: () => void): Timer {
    const handle = setInterval(callback, periodMs)
    return { cancel: () => clearInterval(handle) }
  }
}
