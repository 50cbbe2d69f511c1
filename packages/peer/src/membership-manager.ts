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
  ALIVE_PREFIX, memberRecordSchema, formatAliveKey, formatViewKey, LAYOUT_KEY, OWNER_PREFIX, parseRecord, VIEW_PREFIX, type MemberRecord
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
  /** Alive record of this instance. Its `isDraining` is ignored; {@link MembershipManager.markDraining} sets the stored value. */
  readonly self: MemberRecord
}

interface Lease { readonly id: string, renewedAtMs: number }
interface ActiveRegistration extends RegistrationState { readonly lease: Lease }

/** Registers this instance in the store with an alive key bound to a lease, renews the lease, and lists the live members. */
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

  /** Stops renewing and revokes the lease, so that the other instances notice the stop immediately. */
  async stop (): Promise<void> {
    this.#isStopped = true
    for (const timer of this.#timers) timer.cancel()
    const lease = this.#registration?.lease
    this.#registration = undefined
    if (lease === undefined) return
    // An unreachable store must not delay the stop: without renewals the lease expires anyway.
    const timeout = new Promise<void>((resolve) => { this.#options.clock.startTimer(REVOKE_TIMEOUT_MS, resolve) })
    await Promise.race([this.#options.store.revokeLease(lease.id), timeout])
  }

  markDraining (): void {
    this.#isDraining = true
    void this.#registerIfNeeded()
  }

  isDraining (): boolean {
    return this.#isDraining
  }

  /** Returns the current registration; undefined until the alive key is stored and the owner records have been read under it. */
  readRegistration (): RegistrationState | undefined {
    return this.#registration
  }

  /** Returns the records of all members, one for each alive key, in the local copy of the store. */
  listMemberRecords (): MemberRecord[] {
    const { cache, logger } = this.#options
    return cache.list(ALIVE_PREFIX).flatMap((stored) => {
      const record = parseRecord(memberRecordSchema, stored.value)
      if (record === undefined) logger.logWarning(PEER_LOG_EVENTS.recordMalformed, { key: stored.key, revision: stored.modRevision })
      return record === undefined ? [] : [record]
    })
  }

  async #renew (): Promise<void> {
    const { store, clock, authority, cache, logger, timings } = this.#options
    const lease = this.#registration?.lease
    const sentMs = clock.readMonotonicMs()
    // Only one renewal is in flight, unless its reply is overdue.
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

  /** Registers if there is no registration, or registers again if the stored draining flag is outdated. */
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
   * Writes the alive key and the view in one transaction. The new revision of the view makes every takeover prepared before
   * it fail. The owner records are read after the transaction and before the registration becomes current. Returns false when
   * the registration failed.
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

  /** The key of an earlier incarnation is left to expire: if it were replaced, that incarnation could go on renewing its lease. */
  #isOtherIncarnation (stored: StoredValue | undefined): boolean {
    return stored !== undefined && parseRecord(memberRecordSchema, stored.value)?.incarnation !== this.#options.self.incarnation
  }

  #failRegistration (reason: string, lease?: Lease): false {
    const { logger, store } = this.#options
    logger.logWarning(PEER_LOG_EVENTS.registrationFailed, { reason })
    // If the response was lost, the alive key may have been written: revoking its lease deletes it.
    if (lease !== undefined && this.#registration?.lease !== lease) void store.revokeLease(lease.id)
    return false
  }
}
