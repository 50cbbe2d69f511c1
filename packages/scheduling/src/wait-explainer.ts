import { addScaledVector, type ResourceVector, computeDominantShare } from './resource-vector.js'
import type { PoolState } from './pool-state.js'
import type { QueuedItem } from './queued-item.js'
import { WAIT_MESSAGES } from './scheduler-messages.js'

/** Returns a text that names the first reason found why an item can't start now. */
export function explainReason (pool: PoolState, queued: QueuedItem, demand: ResourceVector, position: number, nowMs: number): string {
  const { urgency, team, taskCount, requestId } = queued.item
  if (pool.policy === undefined) return WAIT_MESSAGES.poolMissing
  if (pool.targets.length === 0) return WAIT_MESSAGES.noTargets
  const classShare = computeDominantShare(addScaledVector(pool.classUse.read(urgency), demand, taskCount), pool.capacity)
  if (classShare > pool.readClassLimit(urgency)) return WAIT_MESSAGES.classLimit(urgency, pool.readClassPolicy(urgency).limitPercent)
  const teamShare = computeDominantShare(addScaledVector(pool.teamUse.read(team), demand, taskCount), pool.capacity)
  if (teamShare > pool.readTeamQuotaLimit(team)) return WAIT_MESSAGES.teamQuota(team, (100 * pool.readQuotaShare(team)).toFixed(1))
  const reservation = pool.reservations.get(requestId)
  if (reservation !== undefined) return WAIT_MESSAGES.reserved(Math.max(0, reservation.startAtMs - nowMs))
  if (position > 1) return WAIT_MESSAGES.othersFirst
  const hasFit = pool.targets.some((state) => state.isAccepting() && pool.isFittingNow(state, demand))
  return hasFit ? WAIT_MESSAGES.next : WAIT_MESSAGES.noFit
}
