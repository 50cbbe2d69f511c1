import type { Clock } from '@hibiscusledge/runtime/clock.js'
import { Err, type Result } from '@hibiscusledge/runtime/result.js'
import { RateLimiter, type RateLimiterCounts, type CallRates } from './rate-limiter.js'
import type {
  CallPriority, KeyValueStore, PrefixListing, StoredValue, Transaction, TransactionOutcome, Watch, WatchHandler
} from './key-value-store.js'
import type { StoreError } from './store-error.js'

/** Rates of calls to the store, and limits for the calls that wait for them. */
export interface StoreRateLimits {
  readonly readsPerSecond: number
  readonly writesPerSecond: number
  /** Reads that may wait at the same time, and likewise writes. */
  readonly maxWaitingCalls?: number
  /** A call that has waited this long is refused without being sent. */
  readonly maxWaitMs?: number
}

export interface RateLimitedStoreCounts {
  readonly reads: RateLimiterCounts
  readonly writes: RateLimiterCounts
  readonly openWatches: number
}

const DEFAULT_MAX_WAITING_CALLS = 1_000
const DEFAULT_MAX_WAIT_MS = 2_000

const MESSAGES = { rateLimited: 'the call budget is exhausted; the call was not sent' } as const

/**
 * Limits the rates of reads and writes to a store. Calls over the rate wait, `critical` ones ahead of `background` ones.
 * A call that can't be sent in time fails with `rateLimited`.
 */
export class RateLimitedStore implements KeyValueStore {
  readonly #store: KeyValueStore
  readonly #reads: RateLimiter
  readonly #writes: RateLimiter
  #openWatches = 0

  constructor (store: KeyValueStore, clock: Clock, options: StoreRateLimits) {
    const limits = {
      maxWaitingCalls: options.maxWaitingCalls ?? DEFAULT_MAX_WAITING_CALLS,
      maxWaitMs: options.maxWaitMs ?? DEFAULT_MAX_WAIT_MS
    }
    this.#store = store
    this.#reads = new RateLimiter(clock, options.readsPerSecond, limits)
    this.#writes = new RateLimiter(clock, options.writesPerSecond, limits)
  }

  /** Changes the rates, for example when the number of members that share the site's rates changes. */
  setRates (rates: CallRates): void {
    this.#reads.setRate(rates.readsPerSecond)
    this.#writes.setRate(rates.writesPerSecond)
  }

  readCounts (): RateLimitedStoreCounts {
    return { reads: this.#reads.readCounts(), writes: this.#writes.readCounts(), openWatches: this.#openWatches }
  }

  async readKey (key: string, priority: CallPriority): Promise<Result<StoredValue | undefined, StoreError>> {
    return await this.#sendWithinRate(this.#reads, priority, () => this.#store.readKey(key, priority))
  }

  async listPrefix (prefix: string, priority: CallPriority): Promise<Result<PrefixListing, StoreError>> {
    return await this.#sendWithinRate(this.#reads, priority, () => this.#store.listPrefix(prefix, priority))
  }

  async commitTransaction (transaction: Transaction, priority: CallPriority): Promise<Result<TransactionOutcome, StoreError>> {
    return await this.#sendWithinRate(this.#writes, priority, () => this.#store.commitTransaction(transaction, priority))
  }

  async grantLease (ttlSeconds: number): Promise<Result<string, StoreError>> {
    return await this.#sendWithinRate(this.#writes, 'critical', () => this.#store.grantLease(ttlSeconds))
  }

  async renewLease (leaseId: string): Promise<Result<number, StoreError>> {
    return await this.#sendWithinRate(this.#writes, 'critical', () => this.#store.renewLease(leaseId))
  }

  async revokeLease (leaseId: string): Promise<Result<void, StoreError>> {
    return await this.#sendWithinRate(this.#writes, 'critical', () => this.#store.revokeLease(leaseId))
  }

  /** Opens a watch, which counts as one read however long it stays open. */
  watchPrefix (prefix: string, fromRevision: number, handler: WatchHandler, batchWindowMs?: number): Watch {
    let inner: Watch | undefined
    let isClosed = false
    const end = (): boolean => {
      if (isClosed) return false
      isClosed = true
      this.#openWatches--
      return true
    }
    this.#openWatches++
    this.#reads.acquire('background').then((isGranted) => {
      if (isClosed) return
      if (!isGranted) {
        end()
        handler.onClosed(MESSAGES.rateLimited)
        return
      }
      inner = this.#store.watchPrefix(prefix, fromRevision, {
        onEvents: (events, revision) => handler.onEvents(events, revision),
        onClosed: (reason) => { if (end()) handler.onClosed(reason) }
      }, batchWindowMs)
    }).catch((error: unknown) => { if (end()) handler.onClosed(String(error)) })
    return {
      close: () => {
        end()
        inner?.close()
      }
    }
  }

  async #sendWithinRate<Value> (
    limiter: RateLimiter, priority: CallPriority, call: () => Promise<Result<Value, StoreError>>
  ): Promise<Result<Value, StoreError>> {
    if (await limiter.acquire(priority)) return await call()
    return Err({ code: 'rateLimited', message: MESSAGES.rateLimited, isEffectUnknown: false })
  }
}
