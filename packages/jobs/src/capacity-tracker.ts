import type { JobStep, Resources } from './job.js'

export const NO_RESOURCES: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }

/** Amounts are counted in whole multiples of a millionth, so that sums and differences of fractions are exact. */
const UNITS_PER_AMOUNT = 1_000_000
/** Larger amounts have no exact multiple in a number. No target has as much. */
const MAXIMUM_EXACT_AMOUNT = Number.MAX_SAFE_INTEGER / UNITS_PER_AMOUNT

/** Rounds the amounts that a task requests up to what can be counted exactly. */
export function normalizeRequest ({ cpuMillis, memoryMb, accelerators }: Resources): Resources {
  return { cpuMillis: computeCeiling(cpuMillis), memoryMb: computeCeiling(memoryMb), accelerators: computeCeiling(accelerators) }
}

/** Rounds the amounts that a target has to what can be counted exactly. */
export function normalizeCapacity ({ cpuMillis, memoryMb, accelerators }: Resources): Resources {
  return { cpuMillis: computeExact(cpuMillis), memoryMb: computeExact(memoryMb), accelerators: computeExact(accelerators) }
}

function computeCeiling (amount: number): number {
  const rounded = computeExact(amount)
  return rounded >= amount ? rounded : computeExact(rounded + 1 / UNITS_PER_AMOUNT)
}

/** Returns the number that is nearest to a whole multiple of a millionth. Removes the error of a sum or difference of such numbers. */
function computeExact (amount: number): number {
  return Math.abs(amount) > MAXIMUM_EXACT_AMOUNT ? amount : Math.round(amount * UNITS_PER_AMOUNT) / UNITS_PER_AMOUNT
}

/** Tracks which part of a target's capacity is reserved by runs. */
export class CapacityTracker {
  #capacity: Resources
  #used = NO_RESOURCES

  constructor (capacity: Resources) {
    this.#capacity = normalizeCapacity(capacity)
  }

  setCapacity (capacity: Resources): void {
    this.#capacity = normalizeCapacity(capacity)
  }

  reserve (size: Resources): void {
    this.#used = addResources(this.#used, size)
  }

  release (size: Resources): void {
    this.#used = subtractResources(this.#used, size)
  }

  readFree (): Resources {
    return subtractResources(this.#capacity, this.#used)
  }

  readCapacity (): Resources {
    return this.#capacity
  }
}

/** Whether a task of this size fits into the free capacity. */
export function hasCapacity (free: Resources, size: Resources): boolean {
  return free.cpuMillis >= size.cpuMillis && free.memoryMb >= size.memoryMb && free.accelerators >= size.accelerators
}

export function addResources (left: Resources, right: Resources): Resources {
  return {
    cpuMillis: computeExact(left.cpuMillis + right.cpuMillis),
    memoryMb: computeExact(left.memoryMb + right.memoryMb),
    accelerators: computeExact(left.accelerators + right.accelerators)
  }
}

export function subtractResources (left: Resources, right: Resources): Resources {
  return {
    cpuMillis: computeExact(left.cpuMillis - right.cpuMillis),
    memoryMb: computeExact(left.memoryMb - right.memoryMb),
    accelerators: computeExact(left.accelerators - right.accelerators)
  }
}

/** Returns the larger amount of each resource. */
export function mergeMaximum (left: Resources, right: Resources): Resources {
  return {
    cpuMillis: Math.max(left.cpuMillis, right.cpuMillis),
    memoryMb: Math.max(left.memoryMb, right.memoryMb),
    accelerators: Math.max(left.accelerators, right.accelerators)
  }
}

/** Returns the smaller amount of each resource. */
export function mergeMinimum (left: Resources, right: Resources): Resources {
  return {
    cpuMillis: Math.min(left.cpuMillis, right.cpuMillis),
    memoryMb: Math.min(left.memoryMb, right.memoryMb),
    accelerators: Math.min(left.accelerators, right.accelerators)
  }
}

/** Returns what one task reserves of a target. Tasks that use idle capacity reserve no processor time. */
export function computeReservedResources (size: Resources, usesIdleCapacity: boolean): Resources {
  return usesIdleCapacity ? { ...size, cpuMillis: 0 } : size
}

export function computeMultiple ({ cpuMillis, memoryMb, accelerators }: Resources, factor: number): Resources {
  return {
    cpuMillis: computeExact(cpuMillis * factor),
    memoryMb: computeExact(memoryMb * factor),
    accelerators: computeExact(accelerators * factor)
  }
}

/** Returns how many tasks of a size fit into a capacity. Infinite for a task that requests nothing, unless more is in use than there is. */
export function countFitting (capacity: Resources, size: Resources): number {
  if (!hasCapacity(capacity, size)) return 0
  return Math.min(
    countWithin(capacity.cpuMillis, size.cpuMillis),
    countWithin(capacity.memoryMb, size.memoryMb),
    countWithin(capacity.accelerators, size.accelerators)
  )
}

function countWithin (capacity: number, size: number): number {
  if (size <= 0) return Number.POSITIVE_INFINITY
  // The quotient of fractions may be rounded to below a whole number, that of whole multiples is not.
  const isExact = capacity <= MAXIMUM_EXACT_AMOUNT
  return Math.floor(isExact ? Math.round(capacity * UNITS_PER_AMOUNT) / Math.round(size * UNITS_PER_AMOUNT) : capacity / size)
}

/** Returns how many tasks of a step fit into a capacity, either that of a whole target or the free part of one. */
export function countSlots (capacity: Resources, step: JobStep): number {
  const count = countFitting(capacity, computeReservedResources(step.size, step.usesIdleCapacity))
  return step.maximumPerTarget > 0 ? Math.min(step.maximumPerTarget, count) : count
}
