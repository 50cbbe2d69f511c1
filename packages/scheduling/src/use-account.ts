import { addAmounts, type Amounts, computeDominantShare, NO_AMOUNTS } from './amounts.js'

/** Capacity in use by name, such as a class or a team. */
export class UseAccount {
  readonly #used = new Map<string, Amounts>()

  add (name: string, amounts: Amounts, factor: 1 | -1): void {
    const used = addAmounts(this.#used.get(name) ?? NO_AMOUNTS, amounts, factor)
    if (used.cores === 0 && used.memoryMb === 0 && used.accelerators === 0 && used.slots === 0) this.#used.delete(name)
    else this.#used.set(name, used)
  }

  read (name: string): Amounts {
    return this.#used.get(name) ?? NO_AMOUNTS
  }

  computeShare (name: string, capacity: Amounts): number {
    const used = this.#used.get(name)
    return used === undefined ? 0 : computeDominantShare(used, capacity)
  }
}
