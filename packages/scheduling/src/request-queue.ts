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
    const queued: QueuedItem = { item, share, sequence: this.#nextSequence++ }
    this.#byRequest.set(item.requestId, queued)
    this.#byDeadline.insert(queued)
    pool.queues[item.urgency].insert(queued)
    pool.newlyAdmitted.push(queued)
  }

  remove (pool: PoolState, queued: QueuedItem): void {
    this.#byRequest.delete(queued.item.requestId)
    this.#byDeadline.remove(queued)
    pool.queues[queued.item.urgency].remove(queued)
  }

  listByArrival (): QueuedItem[] {
    return [...this.#byRequest.values()].sort((left, right) => left.sequence - right.sequence)
  }
}
