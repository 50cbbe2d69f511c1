/** Durations of the peer package in milliseconds. All instances of a site must use the same values. */
export interface PeerTimings {
  /** TTL of the lease of the alive key. Rounded to whole seconds, the unit of the store. */
  readonly leaseTtlMs: number
  readonly renewalPeriodMs: number
  /** Authority from the lease ends this long before the lease can expire. */
  readonly leaseMarginMs: number
  readonly heartbeatPeriodMs: number
  /** A link on which nothing has been received for this long is terminated. */
  readonly linkIdleTimeoutMs: number
  /** Time for which a promise binds the peer that gave it. */
  readonly promiseTtlMs: number
  /** Safety margin: the owner counts a promise as shorter by this much, the peer that gave it as longer. */
  readonly promiseMarginMs: number
  /** Time for which an alive key must have been observed absent before its owner is denied promises. */
  readonly absenceThresholdMs: number
  /** Promise authority ends this long after the last renewal of the lease in the store. */
  readonly promiseAuthorityLimitMs: number
  /** Added to `promiseAuthorityLimitMs` by an instance that is not in the owner's view. */
  readonly nonMemberMarginMs: number
  /** A longer pause of the event loop revokes authority. */
  readonly pauseThresholdMs: number
  readonly reconcilePeriodMs: number
  /** Period of the listings that complement the watches. */
  readonly listingPeriodMs: number
  /** Units are acquired only after the membership has been unchanged for this long, so that a joint start needs few hand-overs. */
  readonly membershipStabilizationMs: number
  /** The instance with the higher id delays its first connection by this, so that two instances rarely connect to each other at once. */
  readonly higherIdDelayMs: number
  /** Additional wait for each rank before an instance acquires a unit that those ranked before it have not acquired. */
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
