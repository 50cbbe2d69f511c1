/** Durations of the peer package in milliseconds. Every instance of a site must use the same values. */
export interface PeerTimings {
  /** TTL of the lease under the alive key. The store counts whole seconds. */
  readonly leaseTtlMs: number
  readonly renewalPeriodMs: number
  /** Store authority ends this long before the lease can lapse. */
  readonly storeMarginMs: number
  readonly heartbeatPeriodMs: number
  /** A link without traffic for this long is terminated. */
  readonly silenceLimitMs: number
  /** How long a promise binds the peer that gave it. */
  readonly promiseMs: number
  /** Subtracted by the holder of a promise and added by its giver. */
  readonly promiseMarginMs: number
  /** How long an alive key must have been seen absent before its owner is denied. */
  readonly absenceMs: number
  /** Limit of promise authority since the last store renewal. */
  readonly outageLimitMs: number
  /** Added to `outageLimitMs` by an instance outside the owner's view. */
  readonly outsiderMarginMs: number
  /** A longer gap of the event loop revokes authority. */
  readonly pauseLimitMs: number
  readonly reconcilePeriodMs: number
  /** Period of the listings that back up the watches. */
  readonly listingPeriodMs: number
  /** Units are taken only after the membership has been unchanged for this long, so that a common start needs few hand-overs. */
  readonly settleMs: number
  /** The instance with the greater id waits this long before its first attempt, so that a pair seldom connects twice at once. */
  readonly secondSideDelayMs: number
  /** Extra wait of the next instance in rank before it takes a unit that the first in rank has left. */
  readonly rankStepMs: number
}

export const DEFAULT_PEER_TIMINGS: PeerTimings = {
  leaseTtlMs: 3_000,
  renewalPeriodMs: 1_000,
  storeMarginMs: 1_000,
  heartbeatPeriodMs: 500,
  silenceLimitMs: 2_000,
  promiseMs: 2_000,
  promiseMarginMs: 500,
  absenceMs: 1_000,
  outageLimitMs: 600_000,
  outsiderMarginMs: 2_000,
  pauseLimitMs: 1_000,
  reconcilePeriodMs: 250,
  listingPeriodMs: 2_000,
  settleMs: 300,
  secondSideDelayMs: 300,
  rankStepMs: 2_000
}
