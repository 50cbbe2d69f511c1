import { type ResourceVector, convertDemand, ZERO_RESOURCE_VECTOR } from './resource-vector.js'
import type { KindProfiles } from './kind-profiles.js'
import type { PoolState } from './pool-state.js'
import type { WorkItem } from './work-item.js'

export const ONE_SLOT: ResourceVector = { ...ZERO_RESOURCE_VECTOR, slots: 1 }

/** What one task of an item takes on a target of the pool. */
export function computeDemand (pool: PoolState, profiles: KindProfiles, item: WorkItem): ResourceVector {
  if (pool.isExecutorPool) return ONE_SLOT
  return convertDemand(profiles.estimateSize(item.kind, item.resources, pool.shapeCapacities))
}
