import type { IndexedHeap } from './indexed-heap.js'
import type { QueuedItem } from './queued-item.js'

/** Items read from the heap at a time, besides those already tried. */
const CHUNK_SIZE = 8

/** Iterates over the queue of one team in order within one pass, without removing items. */
export class TeamCursor {
  readonly team: string
  readonly #heap: IndexedHeap<QueuedItem>
  readonly #tried = new Set<QueuedItem>()
  #chunk: readonly QueuedItem[] = []
  #next = 0
  /** The team's share of the pool's capacity divided by its quota. */
  quotaUse: number

  constructor (team: string, heap: IndexedHeap<QueuedItem>, quotaUse: number) {
    this.team = team
    this.quotaUse = quotaUse
    this.#heap = heap
    const first = heap.getFirst()
    if (first !== undefined) this.#chunk = [first]
  }

  /** The first item that was neither started nor tried in this pass; undefined when none is left. */
  get current (): QueuedItem | undefined { return this.#chunk[this.#next] }

  get triedCount (): number { return this.#tried.size }

  /** Moves to the next item after the current one was started, which removed it from the heap, or was tried without success. */
  advance (wasStarted: boolean): void {
    const { current } = this
    if (current === undefined) return
    if (!wasStarted) this.#tried.add(current)
    this.#next++
    if (this.#next >= this.#chunk.length) this.#fillChunk()
  }

  #fillChunk (): void {
    this.#chunk = this.#heap.listFirst(CHUNK_SIZE + this.#tried.size).filter((queued) => !this.#tried.has(queued))
    this.#next = 0
  }
}

/** Orders by quota use, lowest first, then by deadline of the current item, then by name of the team. */
export function compareCursors (left: TeamCursor, right: TeamCursor): number {
  return left.quotaUse - right.quotaUse ||
    (left.current?.item.deadlineAtMs ?? Infinity) - (right.current?.item.deadlineAtMs ?? Infinity) ||
    (left.team < right.team ? -1 : left.team > right.team ? 1 : 0)
}
