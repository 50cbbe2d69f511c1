import type { JobStep, Resources } from './job.js'

export const NO_RESOURCES: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }

/** Tracks which part of a target's capacity is reserved by runs. */
export class CapacityTracker {
  #capacity: Resources
  #usedCpuMillis = 0
  #usedMemoryMb = 0
  #usedAccelerators = 0

  constructor (capacity: Resources) {
    this.#capacity = capacity
  }

  setCapacity (capacity: Resources): void {
    this.#capacity = capacity
  }

  reserve (size: Resources): void {
    this.#usedCpuMillis += size.cpuMillis
    this.#usedMemoryMb += size.memoryMb
    this.#usedAccelerators += size.accelerators
  }

  release (size: Resources): void {
    this.#usedCpuMillis -= size.cpuMillis
    this.#usedMemoryMb -= size.memoryMb
    this.#usedAccelerators -= size.accelerators
  }

  readFree (): Resources {
    return {
      cpuMillis: this.#capacity.cpuMillis - this.#usedCpuMillis,
      memoryMb: this.#capacity.memoryMb - this.#usedMemoryMb,
      accelerators: this.#capacity.accelerators - this.#usedAccelerators
    }
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
    cpuMillis: left.cpuMillis + right.cpuMillis,
    memoryMb: left.memoryMb + right.memoryMb,
    accelerators: left.accelerators + right.accelerators
  }
}

export function subtractResources (left: Resources, right: Resources): Resources {
  return {
    cpuMillis: left.cpuMillis - right.cpuMillis,
    memoryMb: left.memoryMb - right.memoryMb,
    accelerators: left.accelerators - right.accelerators
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
  return { cpuMillis: cpuMillis * factor, memoryMb: memoryMb * factor, accelerators: accelerators * factor }
}

/** Returns how many tasks of a size fit into a capacity. Infinite for a task that requests nothing, unless more is in use than there is. */
export function countFitting (capacity: Resources, size: Resources): number {
  if (!hasCapacity(capacity, size)) return 0
  return Math.floor(Math.min(
    size.cpuMillis > 0 ? capacity.cpuMillis / size.cpuMillis : Number.POSITIVE_INFINITY,
    size.memoryMb > 0 ? capacity.memoryMb / size.memoryMb : Number.POSITIVE_INFINITY,
    size.accelerators > 0 ? capacity.accelerators / size.accelerators : Number.POSITIVE_INFINITY
  ))
}

/** Returns how many tasks of a step fit into a capacity, either that of a whole target or the free part of one. */
export function countSlots (capacity: Resources, step: JobStep): number {
  const count = countFitting(capacity, computeReservedResources(step.size, step.usesIdleCapacity))
  return step.maximumPerTarget > 0 ? Math.min(step.maximumPerTarget, count) : count
}
