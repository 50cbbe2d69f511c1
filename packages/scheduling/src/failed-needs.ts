import type { Amounts } from './amounts.js'

const MAX_NEEDS = 8

/** Needs that fitted nowhere since capacity last became free, so that equal or larger ones are not tried again. */
export class FailedNeeds {
  #needs: Amounts[] = []
  #version = -1

  isKnownToFail (needed: Amounts, version: number): boolean {
    return version === this.#version && this.#needs.some((failed) => needed.cores >= failed.cores && needed.memoryMb >= failed.memoryMb &&
      needed.accelerators >= failed.accelerators && needed.slots >= failed.slots)
  }

  record (needed: Amounts, version: number): void {
    if (version !== this.#version) {
      this.#needs = []
      this.#version = version
    }
    if (this.#needs.length < MAX_NEEDS) this.#needs.push(needed)
  }
}
