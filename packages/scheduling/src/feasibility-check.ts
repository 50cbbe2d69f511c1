import { addScaledVector, type ResourceVector, computeDominantShare, countFits, ZERO_RESOURCE_VECTOR } from './resource-vector.js'
import type { PoolState } from './pool-state.js'
import { ADMISSION_MESSAGES } from './scheduler-messages.js'
import type { WorkItem } from './work-item.js'

/** Returns the share of the pool's capacity that all tasks of an item take together. */
export function computeItemShare (pool: PoolState, demand: ResourceVector, taskCount: number): number {
  return computeDominantShare(addScaledVector(ZERO_RESOURCE_VECTOR, demand, taskCount), pool.capacity)
}

function formatPercent (share: number): string {
  return (100 * share).toFixed(1)
}

/** Returns a text that names the limit because of which an item can never start in this pool, or undefined when it can. */
export function findInfeasibility (pool: PoolState, item: WorkItem, declared: ResourceVector): string | undefined {
  const { maxTargetCapacity: largest } = pool
  if (declared.cores > largest.cores) return ADMISSION_MESSAGES.targetTooSmall('cores', declared.cores, largest.cores)
  if (declared.memoryMb > largest.memoryMb) return ADMISSION_MESSAGES.targetTooSmall('MB of memory', declared.memoryMb, largest.memoryMb)
  if (declared.accelerators > largest.accelerators) return ADMISSION_MESSAGES.targetTooSmall('accelerators', declared.accelerators, largest.accelerators)
  let fits = 0
  for (const shape of pool.shapes) fits += shape.count * Math.min(item.taskCount, countFits(declared, shape.capacity))
  if (fits === 0) return ADMISSION_MESSAGES.shapeTooSmall
  if (fits < item.taskCount) return ADMISSION_MESSAGES.gangTooLarge(item.taskCount, fits)
  // The comparisons of shares below have a tolerance of 1e-9.
  const share = computeItemShare(pool, declared, item.taskCount)
  const { limitPercent } = pool.readClassPolicy(item.urgency)
  if (share > limitPercent / 100 + 1e-9) return ADMISSION_MESSAGES.classLimit(formatPercent(share), item.urgency, limitPercent)
  const quota = pool.readQuotaShare(item.team)
  if (share > quota + 1e-9) return ADMISSION_MESSAGES.teamQuota(formatPercent(share), item.team, formatPercent(quota))
  return undefined
}
