import type { PoolState } from './pool-state.js'
import { URGENCIES, type Urgency } from './urgency.js'

/** Properties of an item on which the estimate of its wait depends. */
export interface WaitQuery {
  readonly urgency: Urgency
  readonly team: string
  /** Share of the pool's capacity that the item takes, 0 to 1. */
  readonly share: number
  /** Work of the item as share of the pool's capacity times run time in seconds; used while the class has no measurement. */
  readonly assumedShareSeconds: number
}

// Keeps estimates finite for a class that can't use any capacity at present.
const MIN_AVAILABLE_SHARE = 0.001

/**
 * Returns the share of the pool's capacity that an urgency class can count on while more urgent classes are served up to their limits
 * and less urgent ones up to their floors.
 */
export function computeAvailableShare (pool: PoolState, urgency: Urgency): number {
  const rank = URGENCIES.indexOf(urgency)
  let available = 1
  for (const [otherRank, other] of URGENCIES.entries()) {
    if (other === urgency) continue
    const policy = pool.readClassPolicy(other)
    const demand = pool.computeClassShare(other) + pool.queues[other].share
    available -= Math.min(demand, (otherRank < rank ? policy.limitPercent : policy.floorPercent) / 100)
  }
  const own = pool.readClassPolicy(urgency)
  return Math.max(MIN_AVAILABLE_SHARE, Math.min(own.limitPercent / 100, Math.max(own.floorPercent / 100, available)))
}

/**
 * Estimates the wait of a new item in milliseconds by Little's law: the length of its team's queue divided by the team's
 * fraction of the class's service rate. Returns 0 when the item fits into free capacity within its limits.
 */
export function estimateWaitMs (pool: PoolState, query: WaitQuery): number {
  const { urgency, team, share } = query
  const rank = URGENCIES.indexOf(urgency)
  const quota = pool.readQuotaShare(team)
  const classShare = pool.computeClassShare(urgency)
  const isWithinQuota = pool.computeTeamShare(team) + share <= quota
  let shareAhead = 0
  for (const [otherRank, other] of URGENCIES.entries()) if (otherRank <= rank) shareAhead += pool.queues[other].share
  const freeShare = Math.min(1 - pool.computeOccupiedShare(), pool.readClassPolicy(urgency).limitPercent / 100 - classShare)
  if (isWithinQuota && shareAhead + share <= freeShare) return 0
  const available = Math.min(computeAvailableShare(pool, urgency), isWithinQuota ? 1 : Math.max(quota, MIN_AVAILABLE_SHARE))
  const rates = pool.rates[urgency]
  const queue = pool.queues[urgency]
  const teamQueued = queue.countTeam(team)
  const teamCount = queue.teamCount + (teamQueued === 0 ? 1 : 0)
  const teamRate = rates.computeRate(available, query.assumedShareSeconds) * rates.computeTeamFraction(team, teamCount)
  // 1e-9 avoids a division by 0.
  const ahead = Math.max(0, teamQueued + 1 - Math.max(0, freeShare) / Math.max(share, 1e-9))
  return 1_000 * ahead / teamRate
}
