import type { ResourceVector } from './resource-vector.js'

const MAX_FAILED_PLACEMENTS = 8

interface FailedPlacement {
  readonly demand: ResourceVector
  readonly taskCount: number
}

/** Needs that fitted nowhere since capacity last became free, so that equal or larger ones are not tried again. */
export class FailedPlacementCache {
  #failed: FailedPlacement[] = []
  #capacityVersion = -1

  isKnownToFail (needed: ResourceVector, taskCount: number, version: number): boolean {
    return version === this.#capacityVersion && this.#failed.some((failed) => taskCount >= failed.taskCount &&
      needed.cores >= failed.demand.cores && needed.memoryMb >= failed.demand.memoryMb &&
      needed.accelerators >= failed.demand.accelerators && needed.slots >= failed.demand.slots)
  }

  record (needed: ResourceVector, taskCount: number, version: number): void {
    if (version !== this.#capacityVersion) {
      this.#failed = []
      this.#capacityVersion = version
    }
    if (this.#failed.length < MAX_FAILED_PLACEMENTS) this.#failed.push({ demand: needed, taskCount })
  }
}
