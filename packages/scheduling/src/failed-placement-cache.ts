import type { ResourceVector } from './resource-vector.js'

const MAX_FAILED_PLACEMENTS = 8

interface FailedPlacement {
  readonly demand: ResourceVector
  readonly taskCount: number
}

/** Remembers demands that fitted nowhere since capacity last became free, so that equal or larger ones are not tried again. */
export class FailedPlacementCache {
  #failed: FailedPlacement[] = []
  #capacityVersion = -1

  /** Whether at least as many tasks of at most the same demand have failed since the pool's `freedCapacityVersion` changed. */
  isKnownToFail (demand: ResourceVector, taskCount: number, version: number): boolean {
    return version === this.#capacityVersion && this.#failed.some((failed) => taskCount >= failed.taskCount &&
      demand.cores >= failed.demand.cores && demand.memoryMb >= failed.demand.memoryMb &&
      demand.accelerators >= failed.demand.accelerators && demand.slots >= failed.demand.slots)
  }

  record (demand: ResourceVector, taskCount: number, version: number): void {
    if (version !== this.#capacityVersion) {
      this.#failed = []
      this.#capacityVersion = version
    }
    if (this.#failed.length < MAX_FAILED_PLACEMENTS) this.#failed.push({ demand, taskCount })
  }
}
