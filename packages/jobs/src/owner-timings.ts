import { CLOCK_DRIFT_SHARE } from './target-clock.js'

/** Added to the bound of a lease for the transmission of the order. */
const LEASE_BOUND_MARGIN_MS = 100
/** Longest time for which a replaced owner can still extend leases. */
const REPLACED_OWNER_AUTHORITY_MS = 1_200

/** Timeouts, periods and lease durations of the owner, in milliseconds, and the number of ended runs that it remembers. */
export interface OwnerTimings {
  /** Longest lease that a target grants. */
  readonly maximumLeaseMs: number
  /** Lease that each poll requests while the store answers. */
  readonly leaseMs: number
  /** Validity of a start order on the target's clock. */
  readonly startValidityMs: number
  readonly orderTimeoutMs: number
  readonly stopRetryMs: number
  /** Longest time for which a target waits for a run to end before it answers a poll. */
  readonly pollWaitMs: number
  /** Pause after a poll that returned ended runs, so that runs that end shortly after each other come in one answer. */
  readonly pollPauseMs: number
  /** Time after which a target is polled again while the ended runs that it reported are not stored yet. */
  readonly unstoredPollMs: number
  readonly pollRetryMs: number
  /** A target that hasn't answered for this long is unresponsive and gets no tasks. */
  readonly unresponsiveMs: number
  /** Longest time after sending at which an order without an answer may still be carried out. */
  readonly lateOrderMs: number
  /** Number of ended runs that a session remembers, to handle answers that arrive out of order. */
  readonly rememberedEnds: number
  /** Minimum time between two writes of progress. */
  readonly writePeriodMs: number
}

const DEFAULT_LEASE_MS = 4_500

/** Creates the timings for targets that grant leases of at most `maximumLeaseMs`. */
export function createOwnerTimings (maximumLeaseMs: number): OwnerTimings {
  return {
    maximumLeaseMs,
    leaseMs: Math.min(DEFAULT_LEASE_MS, maximumLeaseMs),
    startValidityMs: 1_500,
    orderTimeoutMs: 500,
    stopRetryMs: 300,
    pollWaitMs: 1_500,
    pollPauseMs: 100,
    unstoredPollMs: 200,
    pollRetryMs: 200,
    unresponsiveMs: 3_000,
    // On the users' platform, an order without an answer may be carried out up to 12 s later.
    lateOrderMs: 13_000,
    rememberedEnds: 500,
    writePeriodMs: 25
  }
}

/** Returns the longest time, on this instance's clock, for which a lease of this length can last on a slow target clock. */
export function computeLeaseBoundMs (leaseMs: number): number {
  return leaseMs / (1 - CLOCK_DRIFT_SHARE) + LEASE_BOUND_MARGIN_MS
}

/** Returns the longest time, on this instance's clock, for which leases extended by an earlier owner can last. */
export function computeEarlierLeaseBoundMs (timings: OwnerTimings): number {
  return computeLeaseBoundMs(timings.maximumLeaseMs) + REPLACED_OWNER_AUTHORITY_MS
}
