import { IndexedHeap } from './indexed-heap.js'
import { compareByDeadline, type QueuedItem } from './queued-item.js'

/** The queue of one urgency class of a pool: a deadline-ordered heap for each team. */
export class ClassQueue {
  readonly #teams = new Map<string, IndexedHeap<QueuedItem>>()
  #size = 0
  #share = 0

  get size (): number { return this.#size }

  /** Share of the pool's capacity that the queued items were estimated to take together. */
  get share (): number { return this.#size === 0 ? 0 : this.#share }

  get teamCount (): number { return this.#teams.size }

  listTeams (): IterableIterator<[string, IndexedHeap<QueuedItem>]> {
    return this.#teams.entries()
  }

  countTeam (team: string): number {
    return this.#teams.get(team)?.size ?? 0
  }

  insert (entry: QueuedItem): void {
    let heap = this.#teams.get(entry.item.team)
    if (heap === undefined) {
      heap = new IndexedHeap(compareByDeadline)
      this.#teams.set(entry.item.team, heap)
    }
    heap.insert(entry)
    this.#size++
    this.#share += entry.share
  }

  remove (entry: QueuedItem): void {
    const heap = this.#teams.get(entry.item.team)
    if (heap === undefined || !heap.remove(entry)) return
    if (heap.size === 0) this.#teams.delete(entry.item.team)
    this.#size--
    this.#share = this.#size === 0 ? 0 : this.#share - entry.share
  }

  /** One more than the number of items of the same team that go first. */
  computePosition (entry: QueuedItem): number {
    const heap = this.#teams.get(entry.item.team)
    if (heap === undefined) return 0
    return 1 + heap.entries.filter((other) => compareByDeadline(other, entry) < 0).length
  }
}
