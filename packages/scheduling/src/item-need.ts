import { type Amounts, convertNeed, NO_AMOUNTS } from './amounts.js'
import type { KindProfiles } from './kind-profiles.js'
import type { PoolState } from './pool-state.js'
import type { WorkItem } from './work-item.js'

export const ONE_SLOT: Amounts = { ...NO_AMOUNTS, slots: 1 }

/** What one task of an item takes on a target of the pool. */
export function computeNeed (pool: PoolState, profiles: KindProfiles, item: WorkItem): Amounts {
  if (pool.isExecutorPool) return ONE_SLOT
  return convertNeed(profiles.estimateSize(item.kind, item.resources, pool.shapeSizes))
}
