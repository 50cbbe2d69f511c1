import type { Clock } from '@hibiscusledge/runtime/clock.js'
import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import { KeySpace } from './key-space.js'
import type {
  CallPriority, KeyValueStore, PrefixListing, StoredValue, Transaction, TransactionOutcome, Watch, WatchEvent, WatchHandler
} from './key-value-store.js'
import type { StoreError } from './store-error.js'

/** Faults of one client, which a test can change at any time. */
export interface InMemoryStoreFaults {
  /** Every call fails without effect and every watch ends. */
  isDown: boolean
  /** Number of next calls that fail without effect. */
  failNextCalls: number
  /** Number of next writes that take effect and then time out. */
  loseNextReplies: number
  /** Duration of each call, which takes effect at its end. */
  delayMs: number
  /** Whether the store rejects a transaction with this put as invalid. */
  isRejected: (put: { readonly key: string, readonly value: string }) => boolean
}

const MESSAGES = {
  down: 'the store is down',
  historyDropped: 'the history is no longer available',
  leaseNotFound: 'lease not found',
  lost: 'the response was lost',
  rejected: 'the call is invalid',
  watchClosed: 'the store went down'
} as const
const EXPIRY_CHECK_PERIOD_MS = 100

/** Fake of the platform's store for tests. Clients of one store share its `KeySpace`; each has its own faults. */
export class InMemoryStore implements KeyValueStore {
  readonly faults: InMemoryStoreFaults = { isDown: false, failNextCalls: 0, loseNextReplies: 0, delayMs: 0, isRejected: () => false }
  readonly counts = { reads: 0, writes: 0, watches: 0 }
  readonly #clock: Clock
  readonly #keySpace: KeySpace
  readonly #watches = new Set<{ handler: WatchHandler, end: () => void }>()

  constructor (clock: Clock, keySpace: KeySpace = new KeySpace()) {
    this.#clock = clock
    this.#keySpace = keySpace
  }

  /** Returns another client of the same store, such as another instance has. */
  createClient (): InMemoryStore {
    return new InMemoryStore(this.#clock, this.#keySpace)
  }

  /** Starts or ends an outage. Its start closes all watches. */
  setDown (isDown: boolean): void {
    this.faults.isDown = isDown
    if (isDown) this.closeWatches(MESSAGES.watchClosed)
  }

  /** Closes all watches of this client, as when the store has dropped the history that they would continue from. */
  closeWatches (reason: string = MESSAGES.historyDropped): void {
    for (const { handler, end } of [...this.#watches]) {
      end()
      handler.onClosed(reason)
    }
  }

  /** Expires a lease at once, as when the process that renews it is paused for too long. */
  expireLease (leaseId: string): void {
    this.#keySpace.revokeLease(leaseId)
  }

  async readKey (key: string, _priority: CallPriority): Promise<Result<StoredValue | undefined, StoreError>> {
    return await this.#runCall('reads', () => Ok(this.#keySpace.readKey(key)))
  }

  async listPrefix (prefix: string, _priority: CallPriority): Promise<Result<PrefixListing, StoreError>> {
    return await this.#runCall('reads', () => Ok({ revision: this.#keySpace.readRevision(), values: this.#keySpace.listPrefix(prefix) }))
  }

  async commitTransaction (transaction: Transaction, _priority: CallPriority): Promise<Result<TransactionOutcome, StoreError>> {
    return await this.#runCall('writes', () => {
      if (transaction.mutations.some((mutation) => mutation.type === 'put' && this.faults.isRejected(mutation))) {
        return Err({ code: 'protocol', message: MESSAGES.rejected, isEffectUnknown: false })
      }
      const conditions = transaction.comparisons.map(({ key, modRevision }) => ({ key, field: 'modRevision', expected: modRevision }) as const)
      const outcome = this.#keySpace.commit(conditions, transaction.mutations)
      if (typeof outcome !== 'string') return Ok(outcome)
      return Err({ code: outcome === 'leaseNotFound' || outcome === 'tooLarge' ? outcome : 'protocol', message: outcome, isEffectUnknown: false })
    })
  }

  async grantLease (ttlSeconds: number): Promise<Result<string, StoreError>> {
    return await this.#runCall('writes', () => {
      const leaseId = this.#keySpace.grantLease(ttlSeconds * 1000, this.#clock.readMonotonicMs())
      this.#scheduleExpiry(leaseId)
      return Ok(leaseId)
    })
  }

  async renewLease (leaseId: string): Promise<Result<number, StoreError>> {
    return await this.#runCall('writes', () => {
      const remainingMs = this.#keySpace.renewLease(leaseId, this.#clock.readMonotonicMs())
      if (remainingMs > 0) return Ok(remainingMs / 1000)
      return Err({ code: 'leaseNotFound', message: MESSAGES.leaseNotFound, isEffectUnknown: false })
    })
  }

  async revokeLease (leaseId: string): Promise<Result<void, StoreError>> {
    return await this.#runCall('writes', () => {
      if (this.#keySpace.revokeLease(leaseId)) return Ok.EMPTY
      return Err({ code: 'leaseNotFound', message: MESSAGES.leaseNotFound, isEffectUnknown: false })
    })
  }

  watchPrefix (prefix: string, fromRevision: number, handler: WatchHandler, _batchWindowMs?: number): Watch {
    this.counts.watches++
    const queue = fromRevision > 0 ? [...this.#keySpace.listHistory(fromRevision) ?? []] : []
    let isOpen = true
    const deliver = (): void => {
      for (const change of queue.splice(0)) {
        if (!isOpen) return
        const events = change.events.filter((event) => getEventKey(event).startsWith(prefix))
        if (events.length > 0) handler.onEvents(events, change.revision)
      }
    }
    const unsubscribe = this.#keySpace.subscribe((change) => {
      queue.push(change)
      queueMicrotask(deliver)
    })
    const end = (): void => {
      isOpen = false
      unsubscribe()
      this.#watches.delete(watch)
    }
    const watch = { handler, end }
    this.#watches.add(watch)
    queueMicrotask(() => {
      if (!this.faults.isDown) return deliver()
      if (!isOpen) return
      end()
      handler.onClosed(MESSAGES.down)
    })
    return { close: end }
  }

  async #runCall<Value> (kind: 'reads' | 'writes', effect: () => Result<Value, StoreError>): Promise<Result<Value, StoreError>> {
    this.counts[kind]++
    const delayMs = this.faults.delayMs
    if (delayMs > 0) await new Promise<void>((resolve) => { this.#clock.startTimer(delayMs, resolve) })
    else await Promise.resolve()
    if (this.faults.isDown || this.faults.failNextCalls > 0) {
      if (!this.faults.isDown) this.faults.failNextCalls--
      return Err({ code: 'unavailable', message: MESSAGES.down, isEffectUnknown: false })
    }
    this.#keySpace.expireLeases(this.#clock.readMonotonicMs())
    const outcome = effect()
    if (kind === 'reads' || this.faults.loseNextReplies === 0) return outcome
    this.faults.loseNextReplies--
    return Err({ code: 'timeout', message: MESSAGES.lost, isEffectUnknown: true })
  }

  // Deletes the keys of an expired lease and notifies watches without a call to the store, as etcd does.
  #scheduleExpiry (leaseId: string): void {
    const timer = this.#clock.startInterval(EXPIRY_CHECK_PERIOD_MS, () => {
      this.#keySpace.expireLeases(this.#clock.readMonotonicMs())
      if (!this.#keySpace.listLeases().includes(leaseId)) timer.cancel()
    })
  }
}

function getEventKey (event: WatchEvent): string {
  return event.type === 'put' ? event.value.key : event.key
}
