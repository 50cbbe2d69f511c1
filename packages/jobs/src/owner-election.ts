import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import type { KeyValueStore, StoredValue, Watch } from '@hibiscusledge/store/key-value-store.js'
import { z } from 'zod'
import { computeAcquireDelayMs } from './acquire-delay.js'
import { JOB_EVENTS } from './job-events.js'
import { formatWriteSequenceKey, OWNER_KEY, TERM_KEY } from './job-keys.js'
import { PROGRESS_WRITER_COUNT } from './progress-writer-pool.js'

const LEASE_TTL_MS = 1_200
const RENEWAL_PERIOD_MS = 300
/** Authority ends this long before the lease can expire at the store. */
const AUTHORITY_MARGIN_MS = 200
/** Period of the reads of the owner key, as a fallback for its watch. */
const OWNER_CHECK_PERIOD_MS = 1_000
/** A change of the difference between wall and monotonic time by this much or more shows that the instance was suspended. */
const SUSPENSION_THRESHOLD_MS = 250
const WATCH_RETRY_DELAY_MS = 200
const TERM_PATTERN = /^\d+$/

const ownerSchema = z.object({ instance: z.string(), address: z.string(), incarnation: z.string(), lease: z.string() })

/** Stored record of the owner of all targets. */
export type OwnerRecord = z.infer<typeof ownerSchema>

/** An ownership that this instance has acquired. */
export interface Ownership {
  /** First fencing token of this owner. It is higher than all of the earlier owners. */
  readonly fencingToken: number
  /** Number of owners before this one. */
  readonly term: number
  readonly ownerRevision: number
  readonly sequenceRevision: number
}

export interface OwnerElectionHandler {
  onAcquired (ownership: Ownership): void
  /** Another instance may own the targets from now on. */
  onLost (): void
  onOwnerChanged (owner: OwnerRecord | undefined): void
  /** A renewal of the lease has failed. Authority ends soon unless the next one succeeds. */
  onFirstRenewalFailure (): void
  /** Two or more consecutive renewals have failed. The id of the lease lets another instance revoke it. */
  onRepeatedRenewalFailure (lease: string): void
}

export interface OwnerElectionOptions {
  readonly instance: string
  readonly address: string
  readonly incarnation: string
  /** CPU cores of this instance; may be fractional. */
  readonly cores: number
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: EventLogger
  readonly store: KeyValueStore
  readonly handler: OwnerElectionHandler
}

/** Competes for the ownership of all targets, and keeps the lease while this instance is the owner. */
export class OwnerElection {
  readonly #options: OwnerElectionOptions
  #watch: Watch | undefined
  #timers: Timer[] = []
  #isStopped = false
  #isAcquiring = false
  #lease: string | undefined
  #isOwner = false
  #authorityUntilMs = 0
  #wallOffsetMs: number
  #isRenewing = false
  #lastRenewalFailed = false
  #failedRenewals = 0
  #knownRevision = 0
  #mayCompete = true

  constructor (options: OwnerElectionOptions) {
    this.#options = options
    this.#wallOffsetMs = this.#readWallOffset()
  }

  start (): void {
    const { clock } = this.#options
    this.#timers = [
      clock.startInterval(RENEWAL_PERIOD_MS, () => { void this.#renew() }),
      clock.startInterval(OWNER_CHECK_PERIOD_MS, () => { if (!this.#isOwner) void this.#checkOwner() })
    ]
    void this.#watchOwner()
  }

  /** Whether orders may be sent now. Must be called right before each order. */
  isAuthorized (): boolean {
    this.#checkSuspension()
    return this.#isOwner && this.#options.clock.readMonotonicMs() < this.#authorityUntilMs
  }

  isOwner (): boolean {
    return this.#isOwner
  }

  /** Whether the last renewal of the lease succeeded. */
  isStoreHealthy (): boolean {
    return !this.#lastRenewalFailed
  }

  /** Gives up the ownership at once, and no longer competes for it. */
  async release (): Promise<void> {
    this.#mayCompete = false
    const lease = this.#lease
    if (!this.#isOwner || lease === undefined) return
    this.#isOwner = false
    this.#authorityUntilMs = 0
    const result = await this.#options.store.revokeLease(lease)
    this.#options.logger.logInfo(JOB_EVENTS.ownershipReleased, { isRevoked: result.ok })
  }

  /** Renews the lease at once, for example after a failed write. */
  renewNow (): void {
    void this.#renew()
  }

  /** Ends this instance's ownership without revoking the lease; another instance takes over when the lease ends. */
  retire (reason: string): void {
    this.#handleLoss(reason)
  }

  stop (): void {
    this.#isStopped = true
    this.#watch?.close()
    for (const timer of this.#timers) timer.cancel()
  }

  #readWallOffset (): number {
    return this.#options.clock.readWallMs() - this.#options.clock.readMonotonicMs()
  }

  /** The monotonic clock stands still while an instance is suspended, so only the wall clock shows that the lease may have expired. */
  #checkSuspension (): void {
    const offsetMs = this.#readWallOffset()
    const jumpMs = offsetMs - this.#wallOffsetMs
    if (Math.abs(jumpMs) < SUSPENSION_THRESHOLD_MS) return
    this.#wallOffsetMs = offsetMs
    if (!this.#isOwner) return
    this.#authorityUntilMs = 0
    this.#options.logger.logWarning(JOB_EVENTS.ownershipUnconfirmed, { reason: 'the clocks moved apart', jumpMs: Math.round(jumpMs) })
    void this.#renew()
  }

  /** Reads the owner and watches from that revision, so that no change is missed after a closed watch. A stale read could miss its end. */
  async #watchOwner (): Promise<void> {
    const listing = await this.#options.store.listPrefix(OWNER_KEY, 'critical')
    if (this.#isStopped) return
    if (listing.err) {
      this.#options.clock.startTimer(WATCH_RETRY_DELAY_MS, () => { void this.#watchOwner() })
      return
    }
    const { revision, values } = listing.val
    const value = values.find(({ key }) => key === OWNER_KEY)
    this.#applyOwner(value, value?.modRevision ?? revision)
    this.#openWatch(revision + 1)
  }

  #openWatch (fromRevision: number): void {
    this.#watch = this.#options.store.watchPrefix(OWNER_KEY, fromRevision, {
      onEvents: (events) => {
        for (const event of events) {
          if (event.type === 'put') this.#applyOwner(event.value, event.value.modRevision)
          else this.#applyOwner(undefined, event.modRevision)
        }
      },
      onClosed: (reason) => {
        this.#options.logger.logWarning(JOB_EVENTS.watchClosed, { prefix: OWNER_KEY, reason })
        void this.#watchOwner()
      }
    })
  }

  async #checkOwner (): Promise<void> {
    const result = await this.#options.store.readKey(OWNER_KEY, 'background')
    if (result.err || this.#isStopped) return
    this.#applyOwner(result.val, result.val?.modRevision ?? this.#knownRevision)
  }

  #applyOwner (value: StoredValue | undefined, revision: number): void {
    if (revision < this.#knownRevision) return
    this.#knownRevision = revision
    const record = value === undefined ? undefined : parseOwner(value.value)
    this.#options.handler.onOwnerChanged(record)
    if (value === undefined) return this.#scheduleAcquire()
    if (record === undefined || this.#isOwner || record.instance !== this.#options.instance) return
    // The lease belongs to an earlier process of this instance, which must have ended, since this process has its address.
    const isEarlierProcess = record.incarnation !== this.#options.incarnation && record.address === this.#options.address
    if (isEarlierProcess) void this.#options.store.revokeLease(record.lease)
  }

  #scheduleAcquire (): void {
    if (this.#isOwner) return this.#handleLoss('the owner key vanished')
    if (this.#isAcquiring || !this.#mayCompete || this.#isStopped) return
    this.#isAcquiring = true
    const { clock, random, cores } = this.#options
    clock.startTimer(computeAcquireDelayMs(cores, random), () => {
      void this.#acquire().finally(() => { this.#isAcquiring = false })
    })
  }

  async #acquire (): Promise<void> {
    const { store, clock, instance, address, incarnation } = this.#options
    const sentAtMs = clock.readMonotonicMs()
    const wallOffsetMs = this.#readWallOffset()
    const [lease, termValue] = await Promise.all([store.grantLease(LEASE_TTL_MS / 1_000), store.readKey(TERM_KEY, 'critical')])
    if (lease.err || termValue.err || !this.#mayCompete) return
    const term = termValue.val === undefined ? 0 : TERM_PATTERN.test(termValue.val.value) ? Number(termValue.val.value) : undefined
    if (term === undefined) return this.#options.logger.logError(JOB_EVENTS.recordMalformed, { key: TERM_KEY })
    const record: OwnerRecord = { instance, address, incarnation, lease: lease.val }
    const result = await store.commitTransaction({
      comparisons: [{ key: OWNER_KEY, modRevision: 0 }, { key: TERM_KEY, modRevision: termValue.val?.modRevision ?? 0 }],
      mutations: [
        { type: 'put', key: OWNER_KEY, value: JSON.stringify(record), leaseId: lease.val },
        { type: 'put', key: TERM_KEY, value: String(term + 1) },
        ...Array.from({ length: PROGRESS_WRITER_COUNT }, (_, writer) => (
          { type: 'put', key: formatWriteSequenceKey(writer), value: '0' }
        ) as const)
      ]
    }, 'critical')
    if (result.err || !result.val.isCommitted) {
      // Without an answer, the transaction may have succeeded. Revoking the lease keeps its key from blocking other instances.
      await store.revokeLease(lease.val)
      return
    }
    const { revision } = result.val
    this.#lease = lease.val
    this.#isOwner = true
    this.#knownRevision = revision
    this.#lastRenewalFailed = false
    this.#wallOffsetMs = wallOffsetMs
    this.#authorityUntilMs = sentAtMs + LEASE_TTL_MS - AUTHORITY_MARGIN_MS
    this.#options.logger.logInfo(JOB_EVENTS.ownershipAcquired, { term, fencingToken: revision })
    this.#options.handler.onOwnerChanged(record)
    this.#options.handler.onAcquired({ fencingToken: revision, term, ownerRevision: revision, sequenceRevision: revision })
    // While the store is slow, much of the lease has passed by now.
    void this.#renew()
  }

  async #renew (): Promise<void> {
    const lease = this.#lease
    if (!this.#isOwner || lease === undefined || this.#isRenewing) return
    this.#checkSuspension()
    this.#isRenewing = true
    const sentAtMs = this.#options.clock.readMonotonicMs()
    const wallOffsetMs = this.#wallOffsetMs
    const result = await this.#options.store.renewLease(lease)
    this.#isRenewing = false
    if (!this.#isOwner) return
    if (result.err && result.val.code === 'leaseNotFound') return this.#handleLoss('the lease has lapsed')
    const hadFailed = this.#lastRenewalFailed
    this.#lastRenewalFailed = result.err
    this.#failedRenewals = result.err ? this.#failedRenewals + 1 : 0
    if (result.err) {
      // A single answer may be lost. A second failure right away shows that the store refuses this instance.
      if (this.#failedRenewals === 1) this.renewNow()
      if (!hadFailed) this.#options.handler.onFirstRenewalFailure()
      if (!hadFailed) this.#options.logger.logWarning(JOB_EVENTS.ownershipUnconfirmed, { reason: result.val.message })
      if (this.#failedRenewals > 1) this.#options.handler.onRepeatedRenewalFailure(lease)
      return
    }
    if (hadFailed) this.#options.logger.logInfo(JOB_EVENTS.ownershipConfirmed, {})
    this.#checkSuspension()
    // A renewal sent before a suspension doesn't show that the lease is still valid.
    if (wallOffsetMs !== this.#wallOffsetMs) return
    this.#authorityUntilMs = sentAtMs + LEASE_TTL_MS - AUTHORITY_MARGIN_MS
    // Waiting another period would leave too little of the lease for the next renewal, which may take as long.
    if (this.#options.clock.readMonotonicMs() - sentAtMs > RENEWAL_PERIOD_MS) void this.#renew()
  }

  #handleLoss (reason: string): void {
    if (!this.#isOwner) return
    this.#isOwner = false
    this.#authorityUntilMs = 0
    this.#options.logger.logWarning(JOB_EVENTS.ownershipLost, { reason })
    this.#options.handler.onLost()
    void this.#checkOwner()
  }
}

function parseOwner (text: string): OwnerRecord | undefined {
  try {
    const parsed = ownerSchema.safeParse(JSON.parse(text))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}
