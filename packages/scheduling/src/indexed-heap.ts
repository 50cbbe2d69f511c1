/** A binary min-heap that stores the position of each entry, so that any entry can be removed in O(log n). */
export class IndexedHeap<T> {
  readonly #compare: (left: T, right: T) => number
  readonly #entries: T[] = []
  readonly #positions = new Map<T, number>()

  constructor (compare: (left: T, right: T) => number) {
    this.#compare = compare
  }

  get size (): number {
    return this.#entries.length
  }

  /** The entries in no particular order. */
  get entries (): readonly T[] {
    return this.#entries
  }

  getFirst (): T | undefined {
    return this.#entries[0]
  }

  /** Lists the first `count` entries in order, without removing them. */
  listFirst (count: number): T[] {
    const first = this.#entries[0]
    if (first === undefined) return []
    if (count === 1 || this.#entries.length === 1) return [first]
    const found: T[] = []
    const frontier: number[] = [0]
    while (found.length < count && frontier.length > 0) {
      let bestIndex = 0
      for (let index = 1; index < frontier.length; index++) {
        const entry = this.#entries[frontier[index] as number] as T
        if (this.#compare(entry, this.#entries[frontier[bestIndex] as number] as T) < 0) bestIndex = index
      }
      const position = frontier[bestIndex] as number
      frontier[bestIndex] = frontier[frontier.length - 1] as number
      frontier.pop()
      found.push(this.#entries[position] as T)
      for (let child = 2 * position + 1; child <= 2 * position + 2; child++) if (child < this.#entries.length) frontier.push(child)
    }
    return found
  }

  has (entry: T): boolean {
    return this.#positions.has(entry)
  }

  insert (entry: T): void {
    if (this.#positions.has(entry)) return
    this.#entries.push(entry)
    this.#positions.set(entry, this.#entries.length - 1)
    this.#advanceUp(this.#entries.length - 1)
  }

  remove (entry: T): boolean {
    const position = this.#positions.get(entry)
    if (position === undefined) return false
    this.#positions.delete(entry)
    const last = this.#entries.pop() as T
    if (position === this.#entries.length) return true
    this.#put(last, position)
    this.#advanceUp(position)
    this.#advanceDown(this.#positions.get(last) as number)
    return true
  }

  #put (entry: T, position: number): void {
    this.#entries[position] = entry
    this.#positions.set(entry, position)
  }

  #advanceUp (start: number): void {
    let position = start
    const entry = this.#entries[position] as T
    while (position > 0) {
      const parentPosition = (position - 1) >> 1
      const parent = this.#entries[parentPosition] as T
      if (this.#compare(entry, parent) >= 0) break
      this.#put(parent, position)
      position = parentPosition
    }
    if (position !== start) this.#put(entry, position)
  }

  #advanceDown (start: number): void {
    let position = start
    const entry = this.#entries[position] as T
    const count = this.#entries.length
    for (;;) {
      let childPosition = 2 * position + 1
      if (childPosition >= count) break
      const rightPosition = childPosition + 1
      if (rightPosition < count && this.#compare(this.#entries[rightPosition] as T, this.#entries[childPosition] as T) < 0) {
        childPosition = rightPosition
      }
      const child = this.#entries[childPosition] as T
      if (this.#compare(entry, child) <= 0) break
      this.#put(child, position)
      position = childPosition
    }
    if (position !== start) this.#put(entry, position)
  }
}
