import type { Timer } from './clock.js'

/** Calls back once in each period, with timers of a clock that has no intervals of its own. */
export function startRepeatingTimer (
  clock: { startTimer: (delayMs: number, callback: () => void) => Timer }, periodMs: number, callback: () => void
): Timer {
  let current = clock.startTimer(periodMs, run)
  function run (): void {
    current = clock.startTimer(periodMs, run)
    callback()
  }
  return { cancel: () => current.cancel() }
}
