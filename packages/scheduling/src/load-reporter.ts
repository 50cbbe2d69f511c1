import type { PoolState } from './pool-state.js'
import type { SchedulerSettings } from './scheduler-settings.js'
import type { PoolLoad } from './shard-scheduler.js'
import type { Urgency } from './urgency.js'
import { estimateWaitMs } from './wait-estimator.js'

/**
 * Reports the load of one pool for other instances. The estimated wait is that of a new item of average size whose team has no
 * queued items.
 */
export function reportLoad (pool: PoolState, settings: SchedulerSettings): PoolLoad {
  const averageShare = pool.targets.length === 0 ? 1 : 1 / Math.max(pool.targets.length, pool.capacity.slots)
  const estimate = (urgency: Urgency): number => estimateWaitMs(pool, {
    urgency, team: '', share: averageShare, assumedShareSeconds: averageShare * settings.defaultRuntimeMs / 1_000
  })
  const { queues } = pool
  return {
    pool: pool.name,
    targetCount: pool.targets.length,
    freeShare: pool.targets.length === 0 ? 0 : Math.max(0, Math.min(1, 1 - pool.computeOccupiedShare())),
    queued: { urgent: queues.urgent.size, high: queues.high.size, normal: queues.normal.size, low: queues.low.size },
    estimatedWaitMs: { urgent: estimate('urgent'), high: estimate('high'), normal: estimate('normal'), low: estimate('low') }
  }
}
