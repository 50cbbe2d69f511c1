import type { Resources } from './resources.js'

/** Resources and executor slots together, so that the same calculations serve workers and executors. */
export interface ResourceVector extends Resources {
  readonly slots: number
}

export const ZERO_RESOURCE_VECTOR: ResourceVector = { cores: 0, memoryMb: 0, accelerators: 0, slots: 0 }

// Sums of multiples of 2^-10 are exact in doubles, so the free capacity of a worker doesn't drift by rounding.
const ACCOUNTING_STEPS_PER_UNIT = 1_024

/** Converts the demand of a task for a worker, rounded up to the accounting step. */
export function convertDemand (demand: Resources): ResourceVector {
  return {
    cores: Math.ceil(demand.cores * ACCOUNTING_STEPS_PER_UNIT) / ACCOUNTING_STEPS_PER_UNIT,
    memoryMb: Math.ceil(demand.memoryMb * ACCOUNTING_STEPS_PER_UNIT) / ACCOUNTING_STEPS_PER_UNIT,
    accelerators: Math.ceil(demand.accelerators * ACCOUNTING_STEPS_PER_UNIT) / ACCOUNTING_STEPS_PER_UNIT,
    slots: 0
  }
}

/** Converts the capacity of a target, rounded down to the accounting step. */
export function convertCapacity (capacity: Resources, slots: number): ResourceVector {
  return {
    cores: Math.floor(capacity.cores * ACCOUNTING_STEPS_PER_UNIT) / ACCOUNTING_STEPS_PER_UNIT,
    memoryMb: Math.floor(capacity.memoryMb * ACCOUNTING_STEPS_PER_UNIT) / ACCOUNTING_STEPS_PER_UNIT,
    accelerators: Math.floor(capacity.accelerators * ACCOUNTING_STEPS_PER_UNIT) / ACCOUNTING_STEPS_PER_UNIT,
    slots
  }
}

/** Returns `left + factor * right`. */
export function addScaledVector (left: ResourceVector, right: ResourceVector, factor: number): ResourceVector {
  return {
    cores: left.cores + right.cores * factor,
    memoryMb: left.memoryMb + right.memoryMb * factor,
    accelerators: left.accelerators + right.accelerators * factor,
    slots: left.slots + right.slots * factor
  }
}

/** Returns the larger amount in each dimension. */
export function computeElementwiseMax (left: Resources, right: Resources): Resources {
  return {
    cores: Math.max(left.cores, right.cores),
    memoryMb: Math.max(left.memoryMb, right.memoryMb),
    accelerators: Math.max(left.accelerators, right.accelerators)
  }
}

/** Returns the smaller amount in each dimension. */
export function computeElementwiseMin (left: Resources, right: Resources): Resources {
  return {
    cores: Math.min(left.cores, right.cores),
    memoryMb: Math.min(left.memoryMb, right.memoryMb),
    accelerators: Math.min(left.accelerators, right.accelerators)
  }
}

function computeRatio (used: number, total: number): number {
  return used > 0 && total > 0 ? used / total : 0
}

/** Returns how many times `demand` fits into `capacity`; Infinity when `demand` is zero. */
export function countFits (demand: ResourceVector, capacity: ResourceVector): number {
  let fits = Infinity
  if (demand.cores > 0) fits = Math.min(fits, Math.floor(capacity.cores / demand.cores))
  if (demand.memoryMb > 0) fits = Math.min(fits, Math.floor(capacity.memoryMb / demand.memoryMb))
  if (demand.accelerators > 0) fits = Math.min(fits, Math.floor(capacity.accelerators / demand.accelerators))
  if (demand.slots > 0) fits = Math.min(fits, Math.floor(capacity.slots / demand.slots))
  return Math.max(0, fits)
}

/** Returns the dominant share: the largest share of `capacity` that `used` takes in any dimension. */
export function computeDominantShare (used: ResourceVector, capacity: ResourceVector): number {
  return Math.max(
    computeRatio(used.cores, capacity.cores),
    computeRatio(used.memoryMb, capacity.memoryMb),
    computeRatio(used.accelerators, capacity.accelerators),
    computeRatio(used.slots, capacity.slots)
  )
}
