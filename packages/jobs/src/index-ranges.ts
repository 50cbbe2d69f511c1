/** First and last index of a run of consecutive indexes. */
export type IndexRange = [first: number, last: number]

/** Groups ascending indexes into ranges. */
export function groupIndexes (indexes: Iterable<number>): IndexRange[] {
  const ranges: IndexRange[] = []
  for (const index of indexes) {
    const last = ranges[ranges.length - 1]
    if (last !== undefined && last[1] === index - 1) last[1] = index
    else ranges.push([index, index])
  }
  return ranges
}

/** Lists the indexes of ranges. */
export function * listIndexes (ranges: readonly IndexRange[]): Generator<number> {
  for (const [first, last] of ranges) for (let index = first; index <= last; index++) yield index
}

/** A set of indexes that are mostly consecutive from 0 on. Its size grows only with the gaps. */
export class IndexSet {
  /** All indexes below are in the set. */
  #end = 0
  readonly #later = new Set<number>()

  add (index: number): void {
    if (index >= this.#end) this.#later.add(index)
    while (this.#later.delete(this.#end)) this.#end++
  }

  has (index: number): boolean {
    return index < this.#end || this.#later.has(index)
  }

  listRanges (): IndexRange[] {
    const later = groupIndexes([...this.#later].sort((left, right) => left - right))
    return this.#end === 0 ? later : [[0, this.#end - 1], ...later]
  }
}
