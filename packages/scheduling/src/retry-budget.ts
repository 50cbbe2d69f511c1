import type { SchedulerSettings } from './scheduler-settings.js'

/** Limits the retries earned by first attempts, so that a long time without failures doesn't allow a burst of retries. */
const MAX_RETRY_TOKENS = 100

/** A budget of retries: first attempts earn them in proportion, and a small minimum is refilled slowly. */
export class RetryBudget {
  readonly #settings: SchedulerSettings
  #tokens: number
  #refilledAtMs: number | undefined

  constructor (settings: SchedulerSettings) {
    this.#settings = settings
    this.#tokens = settings.retryMinimum
  }

  recordFirstAttempt (): void {
    this.#tokens = Math.min(MAX_RETRY_TOKENS, this.#tokens + this.#settings.retryShare)
  }

  isRetryAllowed (nowMs: number): boolean {
    this.#refill(nowMs)
    // Sums of fractions such as 0.1 can fall short of a whole number by rounding.
    return this.#tokens >= 1 - 1e-9
  }

  spend (): void {
    this.#tokens = Math.max(0, this.#tokens - 1)
  }

  #refill (nowMs: number): void {
    const elapsedMs = this.#refilledAtMs === undefined ? 0 : Math.max(0, nowMs - this.#refilledAtMs)
    this.#refilledAtMs = nowMs
    if (this.#tokens >= this.#settings.retryMinimum) return
    this.#tokens = Math.min(this.#settings.retryMinimum, this.#tokens + elapsedMs / this.#settings.retryMinimumRefillMs)
  }
}
