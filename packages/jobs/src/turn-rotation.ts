/** Chooses a few items of a list in turn, so that each gets its turn however long the list is. */
export class TurnRotation {
  readonly #count: number
  #next = 0

  constructor (count: number) {
    this.#count = count
  }

  /** Returns the items that follow those of the last call, from the beginning again after the end of the list. */
  choose<Item> (items: readonly Item[]): Item[] {
    if (items.length <= this.#count) return [...items]
    const first = this.#next % items.length
    this.#next = first + this.#count
    return [...items.slice(first, first + this.#count), ...items.slice(0, Math.max(0, first + this.#count - items.length))]
  }
}
