/** Durations of the peer package in milliseconds. Every instance of a site must use the same values. */
export interface PeerTimings {
  /** TTL of the lease under the alive key. The store counts whole seconds. */
  readonly leaseTtlMs: number
  readonly renewalPeriodMs: number
  /** Store authority ends this long before the lease can lapse. */
  readonly leaseMarginMs: number
  readonly heartbeatPeriodMs: number
  /** A link without traffic for this long is terminated. */
  readonly linkIdleTimeoutMs: number
  /** How long a promise binds the peer that gave it. */
  readonly promiseTtlMs: number
  /** Subtracted by the holder of a promise and added by its giver. */
  readonly promiseMarginMs: number
  /** How long an alive key must have been seen absent before its owner is denied. */
  readonly absenceThresholdMs: number
  /** Limit of promise authority since the last store renewal. */
  readonly promiseAuthorityLimitMs: number
  /** Added to `outageLimitMs` by an instance outside the owner's view. */
  readonly nonMemberMarginMs: number
  /** A longer gap of the event loop revokes authority. */
  readonly pauseThresholdMs: number
  readonly reconcilePeriodMs: number
  /** Period of the listings that back up the watches. */
  readonly listingPeriodMs: number
  /** Units are taken only after the membership has been unchanged for this long, so that a common start needs few hand-overs. */
  readonly membershipStabilizationMs: number
  /** The instance with the greater id waits this long before its first attempt, so that a pair seldom connects twice at once. */
  readonly higherIdDelayMs: number
  /** Extra wait of the next instance in rank before it takes a unit that the first in rank has left. */
  readonly rankDelayMs: number
}

export const DEFAULT_PEER_TIMINGS: PeerTimings = {
  leaseTtlMs: 3_000,
  renewalPeriodMs: 1_000,
  leaseMarginMs: 1_000,
  heartbeatPeriodMs: 500,
  linkIdleTimeoutMs: 2_000,
  promiseTtlMs: 2_000,
  promiseMarginMs: 500,
  absenceThresholdMs: 1_000,
  promiseAuthorityLimitMs: 600_000,
  nonMemberMarginMs: 2_000,
  pauseThresholdMs: 1_000,
  reconcilePeriodMs: 250,
  listingPeriodMs: 2_000,
  membershipStabilizationMs: 300,
  higherIdDelayMs: 300,
  rankDelayMs: 2_000
}
