import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import { Err, type Result } from '@hibiscusledge/runtime/result.js'
import type { KeyValueStore } from '@hibiscusledge/store/key-value-store.js'
import type { StoreError } from '@hibiscusledge/store/store-error.js'

const CALL_TIMEOUT_MS = 600
/** Longest time after sending at which the store may carry out a call that has timed out. */
export const MAXIMUM_LATE_CALL_MS = 4_000
/** Time that a call takes without faults. */
const CALL_MS = 4

/** Shares of the calls of one instance that are hit by each fault. */
export interface StoreFaults {
  /** Calls that the store refuses without effect. */
  readonly refusedShare: number
  /** Calls that get no answer: they have no effect, or take effect in time or late. */
  readonly lostShare: number
  /** Calls that take up to the timeout. */
  readonly slowShare: number
}

export const NO_STORE_FAULTS: StoreFaults = { refusedShare: 0, lostShare: 0, slowShare: 0 }

/** A view of a store with faults of single calls, which are drawn for each call. */
export class FaultyStore {
  faults = NO_STORE_FAULTS
  readonly #store: KeyValueStore
  readonly #clock: Clock
  readonly #random: RandomSource

  constructor (store: KeyValueStore, clock: Clock, random: RandomSource) {
    this.#store = store
    this.#clock = clock
    this.#random = random
  }

  createClient (): KeyValueStore {
    const store = this.#store
    return {
      readKey: async (key, priority) => await this.#send(async () => await store.readKey(key, priority)),
      listPrefix: async (prefix, priority) => await this.#send(async () => await store.listPrefix(prefix, priority)),
      commitTransaction: async (transaction, priority) => (
        await this.#send(async () => await store.commitTransaction(transaction, priority))
      ),
      grantLease: async (ttlSeconds) => await this.#send(async () => await store.grantLease(ttlSeconds)),
      renewLease: async (leaseId) => await this.#send(async () => await store.renewLease(leaseId)),
      revokeLease: async (leaseId) => await this.#send(async () => await store.revokeLease(leaseId)),
      watchPrefix: (prefix, fromRevision, handler, batchWindowMs) => store.watchPrefix(prefix, fromRevision, handler, batchWindowMs)
    }
  }

  async #send<Value> (call: () => Promise<Result<Value, StoreError>>): Promise<Result<Value, StoreError>> {
    const { refusedShare, lostShare, slowShare } = this.faults
    await this.#wait(this.#isHit(slowShare) ? this.#random.drawInteger(CALL_TIMEOUT_MS) : CALL_MS)
    if (this.#isHit(refusedShare)) return Err({ code: 'rateLimited', message: 'rate limit exceeded', isEffectUnknown: false })
    if (!this.#isHit(lostShare)) return await call()
    this.#dropAnswer(call)
    await this.#wait(CALL_TIMEOUT_MS)
    return Err({ code: 'timeout', message: 'no response before the timeout', isEffectUnknown: true })
  }

  /** Lets a call without an answer take effect at once, late or not at all. */
  #dropAnswer (call: () => Promise<unknown>): void {
    const effect = this.#random.drawInteger(3)
    if (effect === 0) void call()
    if (effect === 1) this.#clock.startTimer(this.#random.drawInteger(MAXIMUM_LATE_CALL_MS), () => { void call() })
  }

  #isHit (share: number): boolean {
    return this.#random.drawFraction() < share
  }

  async #wait (durationMs: number): Promise<void> {
    await new Promise<void>((resolve) => { this.#clock.startTimer(durationMs, resolve) })
  }
}
