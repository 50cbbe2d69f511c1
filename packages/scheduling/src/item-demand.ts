import { type ResourceVector, convertDemand, ZERO_RESOURCE_VECTOR } from './resource-vector.js'
import type { KindProfiles } from './kind-profiles.js'
import type { PoolState } from './pool-state.js'
import type { WorkItem } from './work-item.js'

export const ONE_SLOT: ResourceVector = { ...ZERO_RESOURCE_VECTOR, slots: 1 }

/** Returns the demand of one task of an item on a target of the pool: one slot of an executor, or the estimated size. */
export function computeDemand (pool: PoolState, profiles: KindProfiles, item: WorkItem): ResourceVector {
  if (pool.isExecutorPool) return ONE_SLOT
  return convertDemand(profiles.estimateSize(item.kind, item.resources, pool.shapeCapacities))
}
