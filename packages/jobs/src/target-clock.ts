/** A target's monotonic clock may run slower than this instance's by this share. */
export const CLOCK_DRIFT_SHARE = 0.02

/** Estimates a target's monotonic clock from the readings in its answers. */
export class TargetClock {
  #targetMs: number | undefined
  #receivedAtMs = 0

  /** Records the clock reading of an answer. An answer that arrives out of order doesn't set the estimate back. */
  update (targetMs: number, receivedAtMs: number): void {
    const estimateMs = this.estimate(receivedAtMs)
    if (estimateMs !== undefined && estimateMs > targetMs) return
    this.#targetMs = targetMs
    this.#receivedAtMs = receivedAtMs
  }

  /** Returns a lower bound of the target's clock, in milliseconds; undefined before the first answer. */
  estimate (nowMs: number): number | undefined {
    if (this.#targetMs === undefined) return undefined
    const elapsedMs = nowMs - this.#receivedAtMs
    return this.#targetMs + (elapsedMs > 0 ? elapsedMs * (1 - CLOCK_DRIFT_SHARE) : elapsedMs)
  }

  reset (): void {
    this.#targetMs = undefined
  }
}
