/** A binary min-heap that knows each entry's position, so that any entry is removed in O(log n). */
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
      if (childPosition + 1 < count && this.#compare(this.#entries[childPosition + 1] as T, this.#entries[childPosition] as T) < 0) childPosition++
      const child = this.#entries[childPosition] as T
      if (this.#compare(entry, child) <= 0) break
      this.#put(child, position)
      position = childPosition
    }
    if (position !== start) this.#put(entry, position)
  }
}
