import { CLOCK_DRIFT_SHARE } from './target-clock.js'

/** Added to the bound of a lease for the way of the order. */
const LEASE_BOUND_SLACK_MS = 100
/** How long an owner that was replaced may still extend leases. */
const REPLACED_OWNER_AUTHORITY_MS = 1_200

/** Durations of the owner's work, in milliseconds. */
export interface OwnerTimings {
  /** Longest lease that a target grants. */
  readonly maximumLeaseMs: number
  /** Lease that each look extends, while the store answers. */
  readonly leaseMs: number
  /** How long an order to start stays valid on the target's clock. */
  readonly startValidityMs: number
  readonly orderTimeoutMs: number
  readonly stopRetryMs: number
  /** How long a target waits for an end before it answers a look. */
  readonly pollWaitMs: number
  /** Pause after a look that brought ends, so that ends close together come in one answer. */
  readonly pollPauseMs: number
  /** Time after which a target is looked at again while the ends it reported are not stored yet. */
  readonly unstoredPollMs: number
  readonly pollRetryMs: number
  /** A target that hasn't answered for this long gets no work. */
  readonly unresponsiveMs: number
  /** How much later than it was sent an order may be carried out. */
  readonly lateOrderMs: number
  /** Ends that a session remembers for answers out of order. */
  readonly rememberedEnds: number
  /** Least time between two writes of progress. */
  readonly writePeriodMs: number
}

const DEFAULT_LEASE_MS = 4_500

/** The durations for targets that grant leases up to `maximumLeaseMs`. */
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
    // Orders without an answer are carried out up to 12 s later on the users' platform.
    lateOrderMs: 13_000,
    rememberedEnds: 500,
    writePeriodMs: 25
  }
}

/** Longest time by our clock in which a lease of this length can last. */
export function computeLeaseBoundMs (leaseMs: number): number {
  return leaseMs / (1 - CLOCK_DRIFT_SHARE) + LEASE_BOUND_SLACK_MS
}

/** Longest time by our clock for which leases given by an earlier owner can last. */
export function computeEarlierLeaseBoundMs (timings: OwnerTimings): number {
  return computeLeaseBoundMs(timings.maximumLeaseMs) + REPLACED_OWNER_AUTHORITY_MS
}
