import type { Resources } from './resources.js'

/** Resources and executor slots together, so that one calculation serves both kinds of target. */
export interface ResourceVector extends Resources {
  readonly slots: number
}

export const ZERO_RESOURCE_VECTOR: ResourceVector = { cores: 0, memoryMb: 0, accelerators: 0, slots: 0 }

// Sums of multiples of 2^-10 are exact in doubles, so a worker's free capacity never drifts.
const ACCOUNTING_STEPS_PER_UNIT = 1_024

/** Rounds a need up to the accounting grain. */
export function convertDemand (demand: Resources): ResourceVector {
  return {
    cores: Math.ceil(demand.cores * ACCOUNTING_STEPS_PER_UNIT) / ACCOUNTING_STEPS_PER_UNIT,
    memoryMb: Math.ceil(demand.memoryMb * ACCOUNTING_STEPS_PER_UNIT) / ACCOUNTING_STEPS_PER_UNIT,
    accelerators: Math.ceil(demand.accelerators * ACCOUNTING_STEPS_PER_UNIT) / ACCOUNTING_STEPS_PER_UNIT,
    slots: 0
  }
}

/** Rounds a worker's size down to the accounting grain. */
export function convertCapacity (capacity: Resources, slots: number): ResourceVector {
  return {
    cores: Math.floor(capacity.cores * ACCOUNTING_STEPS_PER_UNIT) / ACCOUNTING_STEPS_PER_UNIT,
    memoryMb: Math.floor(capacity.memoryMb * ACCOUNTING_STEPS_PER_UNIT) / ACCOUNTING_STEPS_PER_UNIT,
    accelerators: Math.floor(capacity.accelerators * ACCOUNTING_STEPS_PER_UNIT) / ACCOUNTING_STEPS_PER_UNIT,
    slots
  }
}

export function addScaledVector (left: ResourceVector, right: ResourceVector, factor: number): ResourceVector {
  return {
    cores: left.cores + right.cores * factor,
    memoryMb: left.memoryMb + right.memoryMb * factor,
    accelerators: left.accelerators + right.accelerators * factor,
    slots: left.slots + right.slots * factor
  }
}

/** The greater amount in each dimension. */
export function computeElementwiseMax (left: Resources, right: Resources): Resources {
  return {
    cores: Math.max(left.cores, right.cores),
    memoryMb: Math.max(left.memoryMb, right.memoryMb),
    accelerators: Math.max(left.accelerators, right.accelerators)
  }
}

/** The smaller amount in each dimension. */
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

/** How many times `needed` fits into `capacity`. */
export function countFits (demand: ResourceVector, capacity: ResourceVector): number {
  let fits = Infinity
  if (demand.cores > 0) fits = Math.min(fits, Math.floor(capacity.cores / demand.cores))
  if (demand.memoryMb > 0) fits = Math.min(fits, Math.floor(capacity.memoryMb / demand.memoryMb))
  if (demand.accelerators > 0) fits = Math.min(fits, Math.floor(capacity.accelerators / demand.accelerators))
  if (demand.slots > 0) fits = Math.min(fits, Math.floor(capacity.slots / demand.slots))
  return Math.max(0, fits)
}

/** The largest share of `capacity` that `used` takes in any dimension. */
export function computeDominantShare (used: ResourceVector, capacity: ResourceVector): number {
  return Math.max(
    computeRatio(used.cores, capacity.cores),
    computeRatio(used.memoryMb, capacity.memoryMb),
    computeRatio(used.accelerators, capacity.accelerators),
    computeRatio(used.slots, capacity.slots)
  )
}
