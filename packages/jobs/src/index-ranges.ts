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

/** A set of indexes that are mostly consecutive. Its size grows only with the gaps. */
export class IndexSet {
  /** Ascending, neither overlapping nor adjacent. */
  readonly #ranges: IndexRange[] = []
  #count = 0

  add (index: number): void {
    this.addRange(index, index)
  }

  /** Adds the indexes from `first` to `last`; none if `last` is lower. */
  addRange (first: number, last: number): void {
    if (last < first) return
    // All ranges from `from` up to `to`, exclusive, overlap the new one or are adjacent to it.
    const from = this.#findFirst(first - 1)
    let to = from
    let merged: IndexRange = [first, last]
    let mergedCount = 0
    for (let range = this.#ranges[to]; range !== undefined && range[0] <= last + 1; range = this.#ranges[++to]) {
      merged = [Math.min(merged[0], range[0]), Math.max(merged[1], range[1])]
      mergedCount += countIndexes(range)
    }
    this.#ranges.splice(from, to - from, merged)
    this.#count += countIndexes(merged) - mergedCount
  }

  has (index: number): boolean {
    const range = this.#ranges[this.#findFirst(index)]
    return range !== undefined && range[0] <= index
  }

  count (): number {
    return this.#count
  }

  listRanges (): IndexRange[] {
    return this.#ranges.map(([first, last]) => [first, last])
  }

  /** Lists the indexes below `end` that are not in the set, in ascending order. */
  * listMissing (end: number): Generator<number> {
    let index = 0
    for (const [first, last] of this.#ranges) {
      for (; index < Math.min(first, end); index++) yield index
      index = last + 1
    }
    for (; index < end; index++) yield index
  }

  /** Returns the position of the first range that ends at this index or later. */
  #findFirst (index: number): number {
    let low = 0
    let high = this.#ranges.length
    while (low < high) {
      const middle = (low + high) >>> 1
      const range = this.#ranges[middle]
      if (range !== undefined && range[1] < index) low = middle + 1
      else high = middle
    }
    return low
  }
}

function countIndexes ([first, last]: IndexRange): number {
  return last - first + 1
}
