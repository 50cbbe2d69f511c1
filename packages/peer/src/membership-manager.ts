import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { KeyValueStore, StoredValue } from '@hibiscusledge/store/key-value-store.js'
import { computeBackoffMs } from '@hibiscusledge/runtime/backoff.js'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import type { AuthorityTracker } from './authority-tracker.js'
import { PEER_LOG_EVENTS } from './peer-log-events.js'
import type { PeerTimings } from './peer-timings.js'
import type { StoreCache } from './store-cache.js'
import {
  ALIVE_PREFIX, aliveSchema, formatAliveKey, formatViewKey, LAYOUT_KEY, OWNER_PREFIX, parseRecord, VIEW_PREFIX, type AliveRecord
} from './store-records.js'
import type { RegistrationState, ViewManager } from './view-manager.js'

const REGISTRATION_CHECK_PERIOD_MS = 100
const REVOKE_TIMEOUT_MS = 1_000
const REGISTRATION_BACKOFF = { initialMs: 200, maximumMs: 2_000 }

export interface MembershipManagerOptions {
  readonly store: KeyValueStore
  readonly cache: StoreCache
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: EventLogger
  readonly timings: PeerTimings
  readonly authority: AuthorityTracker
  readonly views: ViewManager
  /** This instance's own alive record; `isDraining` is set by {@link MembershipManager.markDraining}. */
  readonly self: AliveRecord
}

interface Lease { readonly id: string, renewedAtMs: number }
interface ActiveRegistration extends RegistrationState { readonly lease: Lease }

/** Keeps the alive key of this instance under its lease and lists the members. */
export class MembershipManager {
  readonly #options: MembershipManagerOptions
  #registration: ActiveRegistration | undefined
  #registrationCount = 0
  #isRegistering = false
  #retryCount = 0
  #pendingRenewalSentMs: number | undefined
  #retryNotBeforeMs = Number.NEGATIVE_INFINITY
  #isDraining = false
  #isStoredDraining = false
  #isStopped = false
  #timers: Timer[] = []

  constructor (options: MembershipManagerOptions) {
    this.#options = options
  }

  start (): void {
    const { clock, timings } = this.#options
    this.#timers = [
      clock.startInterval(timings.renewalPeriodMs, () => { void this.#renew() }),
      clock.startInterval(REGISTRATION_CHECK_PERIOD_MS, () => { void this.#registerIfNeeded() })
    ]
    void this.#registerIfNeeded()
  }

  /** Stops renewing and gives up the lease, so that others see the end at once. */
  async stop (): Promise<void> {
    this.#isStopped = true
    for (const timer of this.#timers) timer.cancel()
    const lease = this.#registration?.lease
    this.#registration = undefined
    if (lease === undefined) return
    // A store that does not answer must not hold up the stop: the lease lapses by itself.
    const limit = new Promise<void>((resolve) => { this.#options.clock.startTimer(REVOKE_TIMEOUT_MS, resolve) })
    await Promise.race([this.#options.store.revokeLease(lease.id), limit])
  }

  markDraining (): void {
    this.#isDraining = true
    void this.#registerIfNeeded()
  }

  isDraining (): boolean {
    return this.#isDraining
  }

  /** The registration in force; undefined until the alive key is known to exist and the owner records have been read under it. */
  readRegistration (): RegistrationState | undefined {
    return this.#registration
  }

  /** Every instance whose alive key is known. */
  listAlive (): AliveRecord[] {
    const { cache, logger } = this.#options
    return cache.list(ALIVE_PREFIX).flatMap((stored) => {
      const record = parseRecord(aliveSchema, stored.value)
      if (record === undefined) logger.logWarning(PEER_LOG_EVENTS.recordMalformed, { key: stored.key, revision: stored.modRevision })
      return record === undefined ? [] : [record]
    })
  }

  async #renew (): Promise<void> {
    const { store, clock, authority, cache, logger, timings } = this.#options
    const lease = this.#registration?.lease
    const sentMs = clock.readMonotonicMs()
    // One renewal at a time, unless its reply is overdue.
    const isPending = this.#pendingRenewalSentMs !== undefined && sentMs - this.#pendingRenewalSentMs < timings.renewalPeriodMs * 1.5
    if (this.#isStopped || lease === undefined || isPending) return
    this.#pendingRenewalSentMs = sentMs
    const renewal = await store.renewLease(lease.id)
    if (this.#pendingRenewalSentMs === sentMs) this.#pendingRenewalSentMs = undefined
    if (this.#isStopped || this.#registration?.lease !== lease) return
    if (renewal.ok && renewal.val > 0) {
      cache.recordContact()
      lease.renewedAtMs = Math.max(lease.renewedAtMs, sentMs)
      authority.confirmRenewal(sentMs)
    } else if (renewal.ok || renewal.val.code === 'leaseNotFound') {
      logger.logWarning(PEER_LOG_EVENTS.leaseLapsed, {})
      this.#registration = undefined
      await this.#registerIfNeeded()
    }
  }

  /** Registers when there is no registration, and brings the stored draining mark up to date. */
  async #registerIfNeeded (): Promise<void> {
    const { clock, random } = this.#options
    if (this.#isStopped || this.#isRegistering || clock.readMonotonicMs() < this.#retryNotBeforeMs) return
    if (this.#registration !== undefined && this.#isStoredDraining === this.#isDraining) return
    this.#isRegistering = true
    const isRegistered = await this.#register()
    this.#isRegistering = false
    this.#retryCount = isRegistered ? 0 : this.#retryCount + 1
    if (!isRegistered) this.#retryNotBeforeMs = clock.readMonotonicMs() + computeBackoffMs(this.#retryCount, REGISTRATION_BACKOFF, random)
  }

  /**
   * Creates the alive key and puts the view in one transaction. The new revision of the view makes every takeover that was
   * prepared before it fail, and the owner records are read afterwards, before the registration comes into force.
   */
  async #register (): Promise<boolean> {
    const { store, cache, logger, self, views, authority } = this.#options
    const aliveKey = formatAliveKey(self.instance)
    const viewKey = formatViewKey(self.instance, self.incarnation)
    const [alive, view] = await Promise.all([store.readKey(aliveKey, 'critical'), store.readKey(viewKey, 'critical')])
    if (alive.err || view.err) return this.#failRegistration('storeUnavailable')
    if (this.#isOtherIncarnation(alive.val)) return this.#failRegistration('predecessorAlive')
    const lease = this.#registration?.lease ?? await this.#grantLease()
    if (lease === undefined || this.#isStopped) return this.#failRegistration('noLease')
    const registration = ++this.#registrationCount
    const isDraining = this.#isDraining
    const record = views.prepareRecord(registration)
    const outcome = await store.commitTransaction({
      comparisons: [{ key: aliveKey, modRevision: alive.val?.modRevision ?? 0 }, { key: viewKey, modRevision: view.val?.modRevision ?? 0 }],
      mutations: [
        { type: 'put', key: aliveKey, value: JSON.stringify({ ...self, isDraining }), leaseId: lease.id },
        { type: 'put', key: viewKey, value: JSON.stringify(record) }
      ]
    }, 'critical')
    if (outcome.err || !outcome.val.isCommitted) return this.#failRegistration(outcome.err ? outcome.val.code : 'conflict', lease)
    const { revision } = outcome.val
    views.confirmRecord(record, revision)
    const isRead = await Promise.all([OWNER_PREFIX, ALIVE_PREFIX, VIEW_PREFIX, LAYOUT_KEY].map((prefix) => cache.refreshPrefix(prefix)))
    if (this.#isStopped || isRead.includes(false)) return this.#failRegistration('ownersNotRead', lease)
    this.#registration = { registration, aliveRevision: revision, lease }
    this.#isStoredDraining = isDraining
    authority.beginRegistration(registration, lease.renewedAtMs)
    logger.logInfo(PEER_LOG_EVENTS.registered, { registration, revision, isDraining })
    return true
  }

  async #grantLease (): Promise<Lease | undefined> {
    const { store, clock, timings } = this.#options
    const sentMs = clock.readMonotonicMs()
    const granted = await store.grantLease(Math.round(timings.leaseTtlMs / 1_000))
    return granted.ok ? { id: granted.val, renewedAtMs: sentMs } : undefined
  }

  /** An earlier incarnation's key is left to lapse: its lease would go on renewing although the key is gone. */
  #isOtherIncarnation (stored: StoredValue | undefined): boolean {
    return stored !== undefined && parseRecord(aliveSchema, stored.value)?.incarnation !== this.#options.self.incarnation
  }

  #failRegistration (reason: string, lease?: Lease): false {
    const { logger, store } = this.#options
    logger.logWarning(PEER_LOG_EVENTS.registrationFailed, { reason })
    // An alive key that was put by a transaction whose reply was lost goes with its lease.
    if (lease !== undefined && this.#registration?.lease !== lease) void store.revokeLease(lease.id)
    return false
  }
}
