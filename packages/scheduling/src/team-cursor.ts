import type { IndexedHeap } from './indexed-heap.js'
import type { QueuedItem } from './queued-item.js'

const CHUNK_SIZE = 8

/** Walks one team's queue in order within one pass without taking items out. */
export class TeamCursor {
  readonly team: string
  readonly #heap: IndexedHeap<QueuedItem>
  readonly #tried = new Set<QueuedItem>()
  #chunk: readonly QueuedItem[] = []
  #next = 0
  /** The team's share of the pool's capacity as part of its quota. */
  quotaUse: number

  constructor (team: string, heap: IndexedHeap<QueuedItem>, quotaUse: number) {
    this.team = team
    this.quotaUse = quotaUse
    this.#heap = heap
    const first = heap.getFirst()
    if (first !== undefined) this.#chunk = [first]
  }

  /** The first item that was neither started nor tried in this pass. */
  get entry (): QueuedItem | undefined { return this.#chunk[this.#next] }

  get triedCount (): number { return this.#tried.size }

  /** Moves on after the current item was started, which took it out of the heap, or tried in vain. */
  advance (wasStarted: boolean): void {
    const { entry } = this
    if (entry === undefined) return
    if (!wasStarted) this.#tried.add(entry)
    this.#next++
    if (this.#next >= this.#chunk.length) this.#fillChunk()
  }

  #fillChunk (): void {
    this.#chunk = this.#heap.listFirst(CHUNK_SIZE + this.#tried.size).filter((entry) => !this.#tried.has(entry))
    this.#next = 0
  }
}

/** The lowest use of the quota first, then the earliest deadline. */
export function compareCursors (left: TeamCursor, right: TeamCursor): number {
  return left.quotaUse - right.quotaUse ||
    (left.entry?.item.deadlineAtMs ?? Infinity) - (right.entry?.item.deadlineAtMs ?? Infinity) ||
    (left.team < right.team ? -1 : left.team > right.team ? 1 : 0)
}
