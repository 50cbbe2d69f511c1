import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import type { CallPriority } from './key-value-store.js'

/** Rates of calls to the store, in calls per second. */
export interface CallRates {
  readonly readsPerSecond: number
  readonly writesPerSecond: number
}

/** Limits for the calls that wait for a token. */
export interface RateLimiterQueueLimits {
  readonly maxWaitingCalls: number
  readonly maxWaitMs: number
}

/** Calls granted and refused since the start, and calls waiting now. */
export interface RateLimiterCounts {
  readonly granted: number
  readonly refused: number
  readonly waiting: number
}

interface WaitingCall {
  readonly resolve: (isGranted: boolean) => void
  readonly expiry: Timer
}

// A burst of 0.1 s of calls starts without waiting and stays small beside the rate that the store counts per second.
const BURST_SECONDS = 0.1

/** A token bucket with a bounded queue, ordered by priority and then by arrival. */
export class RateLimiter {
  readonly #clock: Clock
  readonly #limits: RateLimiterQueueLimits
  readonly #waiting: Record<CallPriority, Set<WaitingCall>> = { critical: new Set(), background: new Set() }
  #callsPerSecond: number
  #tokens: number
  #refilledAtMs: number
  #refillTimer: Timer | undefined
  #granted = 0
  #refused = 0

  constructor (clock: Clock, callsPerSecond: number, limits: RateLimiterQueueLimits) {
    this.#clock = clock
    this.#limits = limits
    this.#callsPerSecond = callsPerSecond
    this.#tokens = this.#computeBurstSize()
    this.#refilledAtMs = clock.readMonotonicMs()
  }

  setRate (callsPerSecond: number): void {
    this.#refill()
    this.#callsPerSecond = callsPerSecond
    this.#tokens = Math.min(this.#tokens, this.#computeBurstSize())
    this.#refillTimer?.cancel()
    this.#refillTimer = undefined
    this.#grantWaiting()
  }

  readCounts (): RateLimiterCounts {
    return { granted: this.#granted, refused: this.#refused, waiting: this.#countWaiting() }
  }

  /** Takes a token. Resolves to true when the call may be sent, to false when it waited too long or the queue is full. */
  acquire (priority: CallPriority): Promise<boolean> {
    this.#refill()
    if (this.#countWaiting() === 0 && this.#takeToken()) {
      this.#granted++
      return Promise.resolve(true)
    }
    if (this.#countWaiting() >= this.#limits.maxWaitingCalls && !this.#evictBackgroundCall(priority)) {
      this.#refused++
      return Promise.resolve(false)
    }
    return new Promise((resolve) => {
      const call: WaitingCall = { resolve, expiry: this.#clock.startTimer(this.#limits.maxWaitMs, () => this.#refuse(priority, call)) }
      this.#waiting[priority].add(call)
      this.#grantWaiting()
    })
  }

  #grantWaiting (): void {
    this.#refill()
    for (const queue of [this.#waiting.critical, this.#waiting.background]) {
      for (const call of queue) {
        if (!this.#takeToken()) return this.#scheduleRefill()
        queue.delete(call)
        call.expiry.cancel()
        this.#granted++
        call.resolve(true)
      }
    }
  }

  #refuse (priority: CallPriority, call: WaitingCall): void {
    this.#waiting[priority].delete(call)
    call.expiry.cancel()
    this.#refused++
    call.resolve(false)
  }

  // When the queue is full, a critical call takes the place of the newest background call, which is refused.
  #evictBackgroundCall (priority: CallPriority): boolean {
    const newest = priority === 'critical' ? [...this.#waiting.background].at(-1) : undefined
    if (newest !== undefined) this.#refuse('background', newest)
    return newest !== undefined
  }

  #refill (): void {
    const nowMs = this.#clock.readMonotonicMs()
    const refilledTokens = (nowMs - this.#refilledAtMs) / 1000 * this.#callsPerSecond
    this.#tokens = Math.min(this.#computeBurstSize(), this.#tokens + refilledTokens)
    this.#refilledAtMs = nowMs
  }

  #takeToken (): boolean {
    // The tolerance absorbs rounding errors, which would otherwise delay a call until another timer has fired.
    if (this.#tokens < 1 - 1e-6) return false
    this.#tokens = Math.max(0, this.#tokens - 1)
    return true
  }

  #scheduleRefill (): void {
    if (this.#refillTimer !== undefined || this.#callsPerSecond <= 0) return
    const delayMs = Math.max(1, (1 - this.#tokens) / this.#callsPerSecond * 1000)
    this.#refillTimer = this.#clock.startTimer(delayMs, () => {
      this.#refillTimer = undefined
      this.#grantWaiting()
    })
  }

  #computeBurstSize (): number {
    return Math.max(1, this.#callsPerSecond * BURST_SECONDS)
  }

  #countWaiting (): number {
    return this.#waiting.critical.size + this.#waiting.background.size
  }
}
