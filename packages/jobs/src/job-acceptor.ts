import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { KeyValueStore } from '@hibiscusledge/store/key-value-store.js'
import { isRejection, type StoreError } from '@hibiscusledge/store/store-error.js'
import { JOB_EVENTS } from './job-events.js'
import { formatFinishedKey, formatJobKey, OWNER_KEY } from './job-keys.js'
import type { Job } from './job.js'
import { encodeJob } from './job-record.js'

/** Jobs in one transaction. Each takes two comparisons and a put. */
const MAXIMUM_JOBS_PER_TRANSACTION = 10
/** Pause between the reads that detect the end of a store outage. */
const PROBE_PERIOD_MS = 60
/** After a store outage of this length, a job is refused at once unless another instance can store it. */
const FAIL_FAST_AFTER_MS = 400

/** Pause in relaying after another instance could not store a job either, since the store is unreachable for more than this one. */
const RELAY_PAUSE_MS = 300
/** A job with less time left is not relayed: the answer would come too late, and the outcome would be unknown. */
const MINIMUM_RELAY_MS = 100

/** Time within which a write whose outcome is unknown may still be carried out: several times the longest call to the store. */
const UNKNOWN_WRITE_MS = 10_000

const REFUSAL_REASONS = {
  noAnswer: 'the store does not answer',
  rejected: 'the store has rejected the record',
  idInUse: 'a job of another account has this id'
} as const

export const ACCEPTANCE_OUTCOMES = {
  /** The job is stored, by this request or an earlier one. */
  stored: 'stored',
  /** Nothing was stored, and nothing will be. */
  notStored: 'notStored',
  /** A job of another account has the id. Nothing was stored of this one. Only while the configuration names accounts. */
  idInUse: 'idInUse',
  /** The job may be stored, or may yet be by a call that is still in flight. */
  unknown: 'unknown'
} as const
export type AcceptanceOutcome = typeof ACCEPTANCE_OUTCOMES[keyof typeof ACCEPTANCE_OUTCOMES]

/** Deadlines for storing a job, on the monotonic clock. */
export interface AcceptanceDeadlines {
  /** Time at which a job is refused if nothing of it has been sent to the store. */
  readonly refuseAtMs: number
  /** Time until which a job that may be stored is retried, since its outcome would be unknown to the caller. */
  readonly giveUpAtMs: number
}

interface PendingJob {
  readonly id: string
  readonly record: string
  readonly deadlines: AcceptanceDeadlines
  /** Whether another instance has relayed the job. Such a job isn't relayed again. */
  readonly isRelayed: boolean
  mayBeStored: boolean
  /** Number of calls in flight that may store the job. */
  openCalls: number
  isSettled: boolean
  /** Written in a transaction of its own after a conflict or an error, so that one job doesn't make others fail. */
  isIsolated: boolean
  timer: Timer | undefined
  readonly resolve: (outcome: AcceptanceOutcome) => void
}

export interface JobAcceptorOptions {
  readonly clock: Clock
  readonly logger: EventLogger
  readonly store: KeyValueStore
  /** Called with the record and the revision of each job that this instance has just stored. */
  readonly onStored: (record: string, revision: number) => void
  /** Has another instance store a job; undefined when no other instance is connected. */
  readonly relay: (id: string, record: string, deadlines: AcceptanceDeadlines) => Promise<AcceptanceOutcome | undefined>
  /** Determines the outcome for a record whose id is in use; undefined when it can only be an earlier attempt of the same job. */
  readonly resolveConflict?: (record: string) => Promise<AcceptanceOutcome> | undefined
}

/**
 * Stores accepted jobs in batches, one transaction at a time. While the store is unreachable, jobs are relayed to other
 * instances. Reads detect when the store answers again, so that no write during the outage is left with an unknown outcome.
 */
export class JobAcceptor {
  readonly #options: JobAcceptorOptions
  #queue: PendingJob[] = []
  readonly #parked = new Set<PendingJob>()
  /** Number of unsettled attempts by job. */
  readonly #openIds = new Map<string, number>()
  /** Monotonic time until which a write of unknown outcome may still be carried out, by job and in this order. */
  readonly #unknownUntilMs = new Map<string, number>()
  #isWriting = false
  /** Monotonic time at which the store outage began; undefined while the store answers. */
  #outageSinceMs: number | undefined
  #relayNotBeforeMs = Number.NEGATIVE_INFINITY

  constructor (options: JobAcceptorOptions) {
    this.#options = options
  }

  async acceptJob (job: Job, deadlines: AcceptanceDeadlines): Promise<AcceptanceOutcome> {
    return await this.#storeRecord(job.id, encodeJob(job), deadlines, false)
  }

  /**
   * Stores the record of a job for an instance that can't reach the store. When this one can't either, the job is refused at
   * once and not relayed further: instances waiting for each other could no longer be sure that nothing was sent to the store.
   */
  async storeRelayed (id: string, record: string, deadlines: AcceptanceDeadlines): Promise<AcceptanceOutcome> {
    if (this.#outageSinceMs !== undefined) return ACCEPTANCE_OUTCOMES.notStored
    return await this.#storeRecord(id, record, deadlines, true)
  }

  /** Whether a write of this job is queued or in flight, or has lately ended without a known outcome. */
  isWriting (id: string): boolean {
    return this.#openIds.has(id) || (this.#unknownUntilMs.get(id) ?? Number.NEGATIVE_INFINITY) > this.#options.clock.readMonotonicMs()
  }

  async #storeRecord (id: string, record: string, deadlines: AcceptanceDeadlines, isRelayed: boolean): Promise<AcceptanceOutcome> {
    return await new Promise((resolve) => {
      const pending: PendingJob = {
        id,
        record,
        deadlines,
        isRelayed,
        mayBeStored: false,
        openCalls: 0,
        isSettled: false,
        isIsolated: false,
        timer: undefined,
        resolve
      }
      this.#openIds.set(id, (this.#openIds.get(id) ?? 0) + 1)
      this.#startTimer(pending, deadlines.refuseAtMs)
      if (this.#outageSinceMs !== undefined) return this.#park(pending)
      this.#queue.push(pending)
      void this.#writeQueue()
    })
  }

  async #writeQueue (): Promise<void> {
    if (this.#isWriting) return
    this.#isWriting = true
    while (this.#queue.length > 0 && this.#outageSinceMs === undefined) await this.#writeBatch(this.#takeBatch())
    this.#isWriting = false
  }

  #takeBatch (): PendingJob[] {
    const first = this.#queue[0]
    if (first?.isIsolated === true) return this.#queue.splice(0, 1)
    // A transaction must not write the same key twice.
    const ids = new Set<string>()
    const batch: PendingJob[] = []
    for (const pending of this.#queue) {
      if (batch.length >= MAXIMUM_JOBS_PER_TRANSACTION || pending.isIsolated || ids.has(pending.id)) break
      ids.add(pending.id)
      batch.push(pending)
    }
    this.#queue.splice(0, batch.length)
    return batch
  }

  async #writeBatch (batch: readonly PendingJob[]): Promise<void> {
    const { store } = this.#options
    for (const pending of batch) pending.openCalls++
    const result = await store.commitTransaction({
      // Of a finished job only the final state is stored; without this check a late attempt would store the job again.
      comparisons: batch.flatMap(({ id }) => [formatJobKey(id), formatFinishedKey(id)]).map((key) => ({ key, modRevision: 0 })),
      mutations: batch.map(({ id, record }) => ({ type: 'put', key: formatJobKey(id), value: record }))
    }, 'critical')
    for (const pending of batch) pending.openCalls--
    if (result.err && isRejection(result.val)) return this.#handleRejection(batch, result.val)
    if (result.err) return this.#handleOutage(batch, result.val)
    if (result.val.isCommitted) {
      for (const pending of batch) this.#options.onStored(pending.record, result.val.revision)
      for (const pending of batch) this.#settle(pending, ACCEPTANCE_OUTCOMES.stored)
      return
    }
    // A key exists, so a job of this id has been stored before. It may even have finished.
    const [only] = batch
    if (batch.length === 1 && only !== undefined) return this.#settleConflict(only)
    for (const pending of batch) pending.isIsolated = true
    this.#queue.push(...batch)
  }

  #settleConflict (pending: PendingJob): void {
    const resolution = this.#options.resolveConflict?.(pending.record)
    if (resolution === undefined) return this.#settle(pending, ACCEPTANCE_OUTCOMES.stored)
    pending.openCalls++
    void resolution.then((outcome) => {
      pending.openCalls--
      this.#settle(pending, outcome, outcome === ACCEPTANCE_OUTCOMES.idInUse ? REFUSAL_REASONS.idInUse : undefined)
    })
  }

  /** Refuses a job whose record the store has rejected. Of several jobs, each is written again in a transaction of its own. */
  #handleRejection (batch: readonly PendingJob[], error: StoreError): void {
    this.#options.logger.logWarning(JOB_EVENTS.writeFailed, { code: error.code, jobs: batch.length, isEffectUnknown: false })
    const [only] = batch
    if (batch.length === 1 && only !== undefined) {
      if (!this.#tryRefuse(only, REFUSAL_REASONS.rejected)) this.#settle(only, ACCEPTANCE_OUTCOMES.unknown, REFUSAL_REASONS.rejected)
      return
    }
    for (const pending of batch) pending.isIsolated = true
    this.#queue.push(...batch)
  }

  #handleOutage (batch: readonly PendingJob[], error: StoreError): void {
    const { logger, clock } = this.#options
    logger.logWarning(JOB_EVENTS.writeFailed, { code: error.code, jobs: batch.length, isEffectUnknown: error.isEffectUnknown })
    this.#outageSinceMs = clock.readMonotonicMs()
    for (const pending of batch) {
      pending.mayBeStored ||= error.isEffectUnknown
      pending.isIsolated = true
    }
    for (const pending of [...batch, ...this.#queue.splice(0)]) this.#park(pending)
    void this.#awaitStore()
  }

  /** Reads until the store answers, then writes the parked jobs. */
  async #awaitStore (): Promise<void> {
    const { store, clock } = this.#options
    while ((await store.readKey(OWNER_KEY, 'critical')).err) {
      await new Promise<void>((resolve) => { clock.startTimer(PROBE_PERIOD_MS, resolve) })
    }
    this.#outageSinceMs = undefined
    this.#queue.push(...[...this.#parked].filter((pending) => !pending.isSettled))
    this.#parked.clear()
    void this.#writeQueue()
  }

  /** Keeps a job until the store answers again, and relays it if it may be relayed. */
  #park (pending: PendingJob): void {
    if (pending.isSettled) return
    if (pending.isRelayed && this.#tryRefuse(pending)) return
    this.#parked.add(pending)
    if (pending.isRelayed) return
    const nowMs = this.#options.clock.readMonotonicMs()
    if (nowMs < this.#relayNotBeforeMs || pending.deadlines.refuseAtMs - nowMs < MINIMUM_RELAY_MS) return this.#refuseInLongOutage(pending)
    void this.#relay(pending).then(() => { this.#refuseInLongOutage(pending) })
  }

  #refuseInLongOutage (pending: PendingJob): void {
    const outageMs = this.#options.clock.readMonotonicMs() - (this.#outageSinceMs ?? Infinity)
    if (outageMs >= FAIL_FAST_AFTER_MS && this.#parked.has(pending)) this.#tryRefuse(pending)
  }

  /** Settles a job as not stored, unless a call has had an unknown outcome or is still in flight. Returns whether it is settled. */
  #tryRefuse (pending: PendingJob, reason?: string): boolean {
    if (pending.mayBeStored || pending.openCalls > 0) return false
    this.#settle(pending, ACCEPTANCE_OUTCOMES.notStored, reason)
    return true
  }

  async #relay (pending: PendingJob): Promise<void> {
    pending.openCalls++
    const outcome = await this.#options.relay(pending.id, pending.record, pending.deadlines)
    pending.openCalls--
    if (outcome === ACCEPTANCE_OUTCOMES.notStored) this.#relayNotBeforeMs = this.#options.clock.readMonotonicMs() + RELAY_PAUSE_MS
    if (outcome === ACCEPTANCE_OUTCOMES.stored) this.#settle(pending, outcome)
    if (outcome === ACCEPTANCE_OUTCOMES.idInUse) this.#settle(pending, outcome, REFUSAL_REASONS.idInUse)
    if (outcome === ACCEPTANCE_OUTCOMES.unknown) pending.mayBeStored = true
  }

  #settle (pending: PendingJob, outcome: AcceptanceOutcome, reason: string = REFUSAL_REASONS.noAnswer): void {
    if (pending.isSettled) return
    pending.isSettled = true
    pending.timer?.cancel()
    this.#parked.delete(pending)
    const openCount = (this.#openIds.get(pending.id) ?? 1) - 1
    if (openCount > 0) this.#openIds.set(pending.id, openCount)
    else this.#openIds.delete(pending.id)
    if (outcome === ACCEPTANCE_OUTCOMES.unknown) this.#rememberUnknown(pending.id)
    if (outcome !== ACCEPTANCE_OUTCOMES.stored) {
      const event = outcome === ACCEPTANCE_OUTCOMES.unknown ? JOB_EVENTS.acceptanceUnknown : JOB_EVENTS.jobRefused
      this.#options.logger.logWarning(event, { jobId: pending.id, reason })
    }
    pending.resolve(outcome)
  }

  #rememberUnknown (id: string): void {
    const nowMs = this.#options.clock.readMonotonicMs()
    for (const [oldest, untilMs] of this.#unknownUntilMs) {
      if (untilMs > nowMs) break
      this.#unknownUntilMs.delete(oldest)
    }
    this.#unknownUntilMs.delete(id)
    this.#unknownUntilMs.set(id, nowMs + UNKNOWN_WRITE_MS)
  }

  #startTimer (pending: PendingJob, atMs: number): void {
    const { clock } = this.#options
    pending.timer = clock.startTimer(Math.max(0, atMs - clock.readMonotonicMs()), () => this.#expire(pending))
  }

  #expire (pending: PendingJob): void {
    if (this.#tryRefuse(pending)) {
      this.#queue = this.#queue.filter((other) => other !== pending)
      return
    }
    if (this.#options.clock.readMonotonicMs() >= pending.deadlines.giveUpAtMs) return this.#settle(pending, ACCEPTANCE_OUTCOMES.unknown)
    this.#startTimer(pending, pending.deadlines.giveUpAtMs)
  }
}
