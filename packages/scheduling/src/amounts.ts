import type { Resources } from './resources.js'

/** Resources and executor slots together, so that one calculation serves both kinds of target. */
export interface Amounts extends Resources {
  readonly slots: number
}

export const NO_AMOUNTS: Amounts = { cores: 0, memoryMb: 0, accelerators: 0, slots: 0 }

// Sums of multiples of 2^-10 are exact in doubles, so a worker's free capacity never drifts.
const GRAIN = 1_024

/** Rounds a need up to the accounting grain. */
export function convertNeed (needed: Resources): Amounts {
  return {
    cores: Math.ceil(needed.cores * GRAIN) / GRAIN,
    memoryMb: Math.ceil(needed.memoryMb * GRAIN) / GRAIN,
    accelerators: Math.ceil(needed.accelerators * GRAIN) / GRAIN,
    slots: 0
  }
}

/** Rounds a worker's size down to the accounting grain. */
export function convertCapacity (capacity: Resources, slots: number): Amounts {
  return {
    cores: Math.floor(capacity.cores * GRAIN) / GRAIN,
    memoryMb: Math.floor(capacity.memoryMb * GRAIN) / GRAIN,
    accelerators: Math.floor(capacity.accelerators * GRAIN) / GRAIN,
    slots
  }
}

export function addAmounts (left: Amounts, right: Amounts, factor: number): Amounts {
  return {
    cores: left.cores + right.cores * factor,
    memoryMb: left.memoryMb + right.memoryMb * factor,
    accelerators: left.accelerators + right.accelerators * factor,
    slots: left.slots + right.slots * factor
  }
}

/** The greater amount in each dimension. */
export function mergeLargest (left: Resources, right: Resources): Resources {
  return {
    cores: Math.max(left.cores, right.cores),
    memoryMb: Math.max(left.memoryMb, right.memoryMb),
    accelerators: Math.max(left.accelerators, right.accelerators)
  }
}

/** The smaller amount in each dimension. */
export function mergeSmallest (left: Resources, right: Resources): Resources {
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
export function countFits (needed: Amounts, capacity: Amounts): number {
  let fits = Infinity
  if (needed.cores > 0) fits = Math.min(fits, Math.floor(capacity.cores / needed.cores))
  if (needed.memoryMb > 0) fits = Math.min(fits, Math.floor(capacity.memoryMb / needed.memoryMb))
  if (needed.accelerators > 0) fits = Math.min(fits, Math.floor(capacity.accelerators / needed.accelerators))
  if (needed.slots > 0) fits = Math.min(fits, Math.floor(capacity.slots / needed.slots))
  return Math.max(0, fits)
}

/** The largest share of `capacity` that `used` takes in any dimension. */
export function computeDominantShare (used: Amounts, capacity: Amounts): number {
  return Math.max(
    computeRatio(used.cores, capacity.cores),
    computeRatio(used.memoryMb, capacity.memoryMb),
    computeRatio(used.accelerators, capacity.accelerators),
    computeRatio(used.slots, capacity.slots)
  )
}
