import type { RequestId } from '@hibiscusledge/runtime/identifiers.js'
import { IndexedHeap } from './indexed-heap.js'
import type { PoolState } from './pool-state.js'
import { compareByDeadline, type QueuedItem } from './queued-item.js'
import type { WorkItem } from './work-item.js'

/** All queued items of the shard by request and by deadline, kept consistent with the queues of the pools. */
export class RequestQueue {
  readonly #byRequest = new Map<RequestId, QueuedItem>()
  readonly #byDeadline = new IndexedHeap<QueuedItem>(compareByDeadline)
  #nextSequence = 0

  get size (): number { return this.#byRequest.size }

  find (requestId: RequestId): QueuedItem | undefined {
    return this.#byRequest.get(requestId)
  }

  getEarliest (): QueuedItem | undefined {
    return this.#byDeadline.getFirst()
  }

  insert (pool: PoolState, item: WorkItem, share: number): void {
    const entry: QueuedItem = { item, share, sequence: this.#nextSequence++ }
    this.#byRequest.set(item.requestId, entry)
    this.#byDeadline.insert(entry)
    pool.queues[item.urgency].insert(entry)
    pool.newlyAdmitted.push(entry)
  }

  remove (pool: PoolState, entry: QueuedItem): void {
    this.#byRequest.delete(entry.item.requestId)
    this.#byDeadline.remove(entry)
    pool.queues[entry.item.urgency].remove(entry)
  }

  listByArrival (): QueuedItem[] {
    return [...this.#byRequest.values()].sort((left, right) => left.sequence - right.sequence)
  }
}
