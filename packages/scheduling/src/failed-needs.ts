import type { Amounts } from './amounts.js'

const MAX_NEEDS = 8

interface FailedNeed {
  readonly needed: Amounts
  readonly taskCount: number
}

/** Needs that fitted nowhere since capacity last became free, so that equal or larger ones are not tried again. */
export class FailedNeeds {
  #failed: FailedNeed[] = []
  #version = -1

  isKnownToFail (needed: Amounts, taskCount: number, version: number): boolean {
    return version === this.#version && this.#failed.some((failed) => taskCount >= failed.taskCount &&
      needed.cores >= failed.needed.cores && needed.memoryMb >= failed.needed.memoryMb &&
      needed.accelerators >= failed.needed.accelerators && needed.slots >= failed.needed.slots)
  }

  record (needed: Amounts, taskCount: number, version: number): void {
    if (version !== this.#version) {
      this.#failed = []
      this.#version = version
    }
    if (this.#failed.length < MAX_NEEDS) this.#failed.push({ needed, taskCount })
  }
}
