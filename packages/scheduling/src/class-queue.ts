import { IndexedHeap } from './indexed-heap.js'
import { compareByDeadline, type QueuedItem } from './queued-item.js'

/** The queue of one urgency class of a pool, with a heap ordered by deadline for each team. */
export class ClassQueue {
  readonly #teams = new Map<string, IndexedHeap<QueuedItem>>()
  #size = 0
  #share = 0

  get size (): number { return this.#size }

  /** Sum of the queued items' estimated shares of the pool's capacity. */
  get share (): number { return this.#size === 0 ? 0 : this.#share }

  get teamCount (): number { return this.#teams.size }

  listTeams (): IterableIterator<[string, IndexedHeap<QueuedItem>]> {
    return this.#teams.entries()
  }

  countTeam (team: string): number {
    return this.#teams.get(team)?.size ?? 0
  }

  insert (queued: QueuedItem): void {
    let heap = this.#teams.get(queued.item.team)
    if (heap === undefined) {
      heap = new IndexedHeap(compareByDeadline)
      this.#teams.set(queued.item.team, heap)
    }
    heap.insert(queued)
    this.#size++
    this.#share += queued.share
  }

  remove (queued: QueuedItem): void {
    const heap = this.#teams.get(queued.item.team)
    if (heap === undefined || !heap.remove(queued)) return
    if (heap.size === 0) this.#teams.delete(queued.item.team)
    this.#size--
    this.#share = this.#size === 0 ? 0 : this.#share - queued.share
  }

  /** Returns the position of an item among those of its team, starting at 1; 0 when the team has no queued items. */
  computePosition (queued: QueuedItem): number {
    const heap = this.#teams.get(queued.item.team)
    if (heap === undefined) return 0
    return 1 + heap.entries.filter((other) => compareByDeadline(other, queued) < 0).length
  }
}
