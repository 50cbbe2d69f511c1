import type { SchedulerSettings } from './scheduler-settings.js'

// Bounds the earned retries, so that a long quiet time does not allow a burst of them.
const MAX_RETRY_TOKENS = 100

/** Retries earned by first attempts, with a small minimum that refills slowly. */
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
    // Sums of 0.1 fall short of whole numbers by rounding.
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
