import { addScaledVector, type ResourceVector, computeDominantShare, ZERO_RESOURCE_VECTOR } from './resource-vector.js'

/** Tracks the capacity in use by name, such as that of an urgency class or a team. */
export class CapacityUseTracker {
  readonly #used = new Map<string, ResourceVector>()

  add (name: string, resources: ResourceVector, factor: 1 | -1): void {
    const used = addScaledVector(this.#used.get(name) ?? ZERO_RESOURCE_VECTOR, resources, factor)
    if (used.cores === 0 && used.memoryMb === 0 && used.accelerators === 0 && used.slots === 0) this.#used.delete(name)
    else this.#used.set(name, used)
  }

  read (name: string): ResourceVector {
    return this.#used.get(name) ?? ZERO_RESOURCE_VECTOR
  }

  computeShare (name: string, capacity: ResourceVector): number {
    const used = this.#used.get(name)
    return used === undefined ? 0 : computeDominantShare(used, capacity)
  }
}
