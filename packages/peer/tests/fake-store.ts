import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import type { KeyValueStore, StoredValue, Transaction, TransactionOutcome, WatchEvent, WatchHandler } from '@hibiscusledge/store/key-value-store.js'
import type { StoreError } from '@hibiscusledge/store/store-error.js'
import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import { ProcessControl } from './process-control.js'

interface Subscription { readonly prefix: string, readonly client: FakeStoreClient, readonly handler: WatchHandler, isBroken: boolean }

const LATENCY_MS = 2
const CALL_TIMEOUT_MS = 600

/** In-memory key-value store whose leases follow the clock of the test. Each process has its own client with its own faults. */
export class FakeStore {
  readonly clock: Clock
  readonly random: RandomSource
  readonly values = new Map<string, StoredValue>()
  readonly subscriptions = new Set<Subscription>()
  readonly #leases = new Map<string, { ttlMs: number, expiresMs: number }>()
  readonly #timer: Timer
  #revision = 1
  isDown = false
  /** Whether leases expire while the store is down. */
  hasLeaseExpiryWhileDown = true

  constructor (clock: Clock, random: RandomSource) {
    this.clock = clock
    this.random = random
    this.#timer = clock.startInterval(100, () => this.#expireLeases())
  }

  stop (): void {
    this.#timer.cancel()
  }

  connect (control: ProcessControl = new ProcessControl(this.clock)): FakeStoreClient {
    return new FakeStoreClient(this, control)
  }

  put (key: string, value: string): void {
    this.commit({ comparisons: [], mutations: [{ type: 'put', key, value }] })
  }

  commit (transaction: Transaction): Result<TransactionOutcome, StoreError> {
    const isUnchanged = transaction.comparisons.every(({ key, modRevision }) => (this.values.get(key)?.modRevision ?? 0) === modRevision)
    const puts = transaction.mutations.filter((mutation) => mutation.type === 'put')
    if (puts.some(({ leaseId }) => leaseId !== undefined && !this.#leases.has(leaseId))) return Err(describeError('leaseNotFound', false))
    if (!isUnchanged) return Ok({ isCommitted: false, revision: this.#revision })
    const revision = ++this.#revision
    const events = puts.map(({ key, value, leaseId }): WatchEvent => {
      const stored = { key, value, modRevision: revision, createRevision: this.values.get(key)?.createRevision ?? revision, leaseId: leaseId ?? '' }
      this.values.set(key, stored)
      return { type: 'put', value: stored }
    })
    for (const mutation of transaction.mutations) {
      if (mutation.type === 'delete' && this.values.delete(mutation.key)) events.push({ type: 'delete', key: mutation.key, modRevision: revision })
    }
    this.#publish(events, revision)
    return Ok({ isCommitted: true, revision })
  }

  list (prefix: string): { revision: number, values: StoredValue[] } {
    return { revision: this.#revision, values: [...this.values.values()].filter(({ key }) => key.startsWith(prefix)) }
  }

  grant (ttlSeconds: number): string {
    const id = `lease-${this.random.drawHex(6)}`
    this.#leases.set(id, { ttlMs: ttlSeconds * 1_000, expiresMs: this.clock.readMonotonicMs() + ttlSeconds * 1_000 })
    return id
  }

  renew (id: string): Result<number, StoreError> {
    const lease = this.#leases.get(id)
    if (lease === undefined) return Err(describeError('leaseNotFound', false))
    lease.expiresMs = this.clock.readMonotonicMs() + lease.ttlMs
    return Ok(lease.ttlMs / 1_000)
  }

  revoke (id: string): void {
    this.#leases.delete(id)
    const keys = [...this.values.values()].filter(({ leaseId }) => leaseId === id).map(({ key }) => key)
    if (keys.length === 0) return
    const revision = ++this.#revision
    for (const key of keys) this.values.delete(key)
    this.#publish(keys.map((key) => ({ type: 'delete', key, modRevision: revision })), revision)
  }

  #expireLeases (): void {
    const nowMs = this.clock.readMonotonicMs()
    for (const [id, lease] of this.#leases) {
      if (this.isDown && !this.hasLeaseExpiryWhileDown) lease.expiresMs = nowMs + lease.ttlMs
      else if (lease.expiresMs <= nowMs) this.revoke(id)
    }
  }

  #publish (events: readonly WatchEvent[], revision: number): void {
    for (const subscription of this.subscriptions) {
      const matching = events.filter((event) => (event.type === 'put' ? event.value.key : event.key).startsWith(subscription.prefix))
      // A watch that has missed events delivers no more, like one whose connection was lost.
      if (this.isDown || subscription.client.isDisconnected) subscription.isBroken = true
      if (matching.length === 0 || subscription.isBroken) continue
      this.clock.startTimer(LATENCY_MS, () => subscription.client.control.run(() => subscription.handler.onEvents(matching, revision)))
    }
  }
}

function describeError (code: StoreError['code'], isEffectUnknown: boolean): StoreError {
  return { code, message: code, isEffectUnknown }
}

/** Client of one simulated process, with faults that tests inject. */
export class FakeStoreClient implements KeyValueStore {
  readonly control: ProcessControl
  readonly #store: FakeStore
  isDisconnected = false
  /** Probability that the response to a write is lost after the write took effect. */
  responseLossProbability = 0
  /** Probability that a write takes effect only after its caller has timed out. */
  lateWriteProbability = 0
  callCount = 0

  constructor (store: FakeStore, control: ProcessControl) {
    this.#store = store
    this.control = control
  }

  async readKey (key: string): Promise<Result<StoredValue | undefined, StoreError>> {
    return await this.#execute(false, () => Ok(this.#store.values.get(key)))
  }

  async listPrefix (prefix: string): Promise<Result<{ revision: number, values: StoredValue[] }, StoreError>> {
    return await this.#execute(false, () => Ok(this.#store.list(prefix)))
  }

  async commitTransaction (transaction: Transaction): Promise<Result<TransactionOutcome, StoreError>> {
    return await this.#execute(true, () => this.#store.commit(transaction))
  }

  async grantLease (ttlSeconds: number): Promise<Result<string, StoreError>> {
    return await this.#execute(false, () => Ok(this.#store.grant(ttlSeconds)))
  }

  async renewLease (leaseId: string): Promise<Result<number, StoreError>> {
    return await this.#execute(false, () => this.#store.renew(leaseId))
  }

  async revokeLease (leaseId: string): Promise<Result<void, StoreError>> {
    return await this.#execute(false, () => Ok(this.#store.revoke(leaseId)))
  }

  watchPrefix (prefix: string, _fromRevision: number, handler: WatchHandler): { close: () => void } {
    const subscription = { prefix, client: this, handler, isBroken: false }
    this.#store.subscriptions.add(subscription)
    return { close: () => { this.#store.subscriptions.delete(subscription) } }
  }

  async #execute<Value> (isWrite: boolean, run: () => Result<Value, StoreError>): Promise<Result<Value, StoreError>> {
    const { clock, random } = this.#store
    this.callCount++
    const draw = isWrite ? random.drawFraction() : 1
    return await new Promise((resolve) => {
      const settle = (afterMs: number, result: Result<Value, StoreError>): void => {
        clock.startTimer(afterMs, () => this.control.run(() => resolve(result)))
      }
      clock.startTimer(LATENCY_MS, () => {
        if (this.isDisconnected || this.#store.isDown) return settle(CALL_TIMEOUT_MS, Err(describeError('timeout', isWrite)))
        if (draw < this.lateWriteProbability) {
          clock.startTimer(random.drawInteger(6_000), () => { if (!this.#store.isDown) run() })
          return settle(CALL_TIMEOUT_MS, Err(describeError('timeout', true)))
        }
        const result = run()
        const isLost = draw < this.lateWriteProbability + this.responseLossProbability
        settle(isLost ? CALL_TIMEOUT_MS : LATENCY_MS, isLost ? Err(describeError('timeout', true)) : result)
      })
    })
  }
}
