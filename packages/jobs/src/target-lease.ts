import { computeEarlierLeaseBoundMs, computeLeaseBoundMs, type OwnerTimings } from './owner-timings.js'

/** Upper bound of the lease under which a target keeps its runs while it doesn't answer. Times are monotonic. */
export class TargetLease {
  readonly #timings: OwnerTimings
  #expiryMs: number

  /** Starts with the longest lease that an earlier owner can have extended. */
  constructor (timings: OwnerTimings, nowMs: number) {
    this.#timings = timings
    this.#expiryMs = nowMs + computeEarlierLeaseBoundMs(timings)
  }

  /** Records that an order sent now may extend the lease by this long. */
  extend (nowMs: number, leaseMs: number): void {
    this.#expiryMs = Math.max(this.#expiryMs, nowMs + computeLeaseBoundMs(leaseMs))
  }

  /** Records that a restarted target may have received an order on its earlier clock, which extends the lease as far as it grants any. */
  extendToMaximum (nowMs: number): void {
    this.extend(nowMs, this.#timings.maximumLeaseMs)
  }

  /** Whether every lease that the target may hold has surely expired. */
  hasExpired (nowMs: number): boolean {
    return nowMs >= this.#expiryMs
  }
}
