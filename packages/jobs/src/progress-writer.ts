import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { MetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import type { KeyValueStore, Mutation, Transaction } from '@hibiscusledge/store/key-value-store.js'
import { isRejection } from '@hibiscusledge/store/store-error.js'
import { JOB_EVENTS } from './job-events.js'
import { OWNER_KEY } from './job-keys.js'
import { JOB_METRICS } from './job-metrics.js'
import { TURN_PARTS, type TurnMeter } from './turns/turn-meter.js'

/** Mutations of a transaction that the store accepts, less the two comparisons and the write sequence. */
const MAXIMUM_MUTATIONS = 29
const RETRY_DELAY_MS = 50
/** Pause before a record that the store has rejected is written again. */
const REJECTED_RETRY_DELAY_MS = 300
/** A record rejected this many times in a row is reported as unstorable. */
const MAXIMUM_REJECTIONS = 3

const WRITE_OUTCOMES = { stored: 'stored', failed: 'failed', rejected: 'rejected' } as const
type WriteOutcome = typeof WRITE_OUTCOMES[keyof typeof WRITE_OUTCOMES]

/** A callback that waits until all changes up to a sequence number are stored: those of one job, or of all jobs. */
interface Barrier { readonly sequence: number, readonly jobId: string | undefined, readonly callback: () => void }

/** A job that is written in a transaction of its own, since the store has rejected one with its record. */
interface IsolatedJob { rejections: number, notBeforeMs: number }

export interface ProgressWriterOptions {
  readonly clock: Clock
  readonly logger: EventLogger
  readonly metrics: MetricSink
  readonly turns: TurnMeter
  readonly store: KeyValueStore
  readonly ownerRevision: number
  /** Key that only this writer of the current owner writes. */
  readonly sequenceKey: string
  readonly sequenceRevision: number
  readonly writePeriodMs: number
  /** Builds the mutations that store the current progress of a job. */
  readonly buildMutations: (jobId: string) => readonly Mutation[]
  readonly isAuthorized: () => boolean
  /** Called when a write shows that another owner has taken over. */
  readonly onSuperseded: () => void
  /** Called when a write has failed, which may be the first sign that the store is unreachable. */
  readonly onFailed: () => void
  /** Called with the revision of each transaction of this writer that the store has confirmed. */
  readonly onCommitted: (revision: number) => void
  /** Called when the store has repeatedly rejected the record of a job. The job must change, or it is never stored. */
  readonly onUnstorable: (jobId: string) => void
}

/**
 * Writes the progress of changed jobs in batches, one transaction at a time. Each transaction requires the owner key and the
 * write sequence of the previous transaction to be unchanged, so that a transaction carried out late has no effect. A record that
 * the store rejects doesn't hold back those of other jobs.
 */
export class ProgressWriter {
  readonly #options: ProgressWriterOptions
  readonly #dirty = new Map<string, number>()
  readonly #isolated = new Map<string, IsolatedJob>()
  #inFlight = new Map<string, number>()
  #barriers: Barrier[] = []
  #nextSequence = 1
  #sequenceRevision: number
  #writeCount = 0
  /** Whether a transaction is wanted even if it stores no progress. */
  #isCommitWanted = false
  #isWriting = false
  #isStopped = false
  #timer: Timer | undefined
  #lastWriteMs = Number.NEGATIVE_INFINITY
  #lastDurationMs = 0

  constructor (options: ProgressWriterOptions) {
    this.#options = options
    this.#sequenceRevision = options.sequenceRevision
  }

  markChanged (jobId: string): void {
    if (!this.#dirty.has(jobId)) this.#dirty.set(jobId, this.#nextSequence++)
    this.#schedule()
  }

  /** Requests a transaction that is sent from now on, even if there is no progress to store. */
  requestCommit (): void {
    this.#isCommitWanted = true
    this.#schedule()
  }

  /** Whether changes of the job are queued or being written. */
  hasUnstored (jobId: string): boolean {
    return this.#dirty.has(jobId) || this.#inFlight.has(jobId)
  }

  countUnstored (): number {
    return this.#dirty.size + this.#inFlight.size
  }

  /** Whether the last write or the one in flight has taken longer than the limit. */
  isSlow (limitMs: number): boolean {
    const openMs = this.#isWriting ? this.#options.clock.readMonotonicMs() - this.#lastWriteMs : 0
    return Math.max(this.#lastDurationMs, openMs) > limitMs
  }

  /** Calls back once all changes marked so far are stored. */
  runWhenStored (callback: () => void): void {
    if (this.#dirty.size === 0 && this.#inFlight.size === 0) return callback()
    this.#barriers.push({ sequence: this.#nextSequence - 1, jobId: undefined, callback })
  }

  /** Calls back once all changes of the job marked so far are stored. */
  runWhenJobStored (jobId: string, callback: () => void): void {
    if (!this.hasUnstored(jobId)) return callback()
    this.#barriers.push({ sequence: this.#nextSequence - 1, jobId, callback })
  }

  stop (): void {
    this.#isStopped = true
    this.#timer?.cancel()
    this.#barriers = []
  }

  #schedule (): void {
    if (this.#isWriting || this.#isStopped || this.#timer !== undefined || (this.#dirty.size === 0 && !this.#isCommitWanted)) return
    const { clock, writePeriodMs } = this.#options
    const delayMs = Math.max(0, this.#lastWriteMs + writePeriodMs - clock.readMonotonicMs())
    this.#timer = clock.startTimer(delayMs, () => {
      this.#timer = undefined
      void this.#write()
    })
  }

  async #write (): Promise<void> {
    if (!this.#options.isAuthorized()) return this.#retryLater()
    const batch = this.#options.turns.measure(TURN_PARTS.write, () => this.#takeBatch())
    if (this.#inFlight.size === 0 && !this.#isCommitWanted) return this.#retryLater()
    this.#isWriting = true
    this.#lastWriteMs = this.#options.clock.readMonotonicMs()
    const outcome = await this.#commit(batch)
    this.#lastDurationMs = this.#options.clock.readMonotonicMs() - this.#lastWriteMs
    this.#options.metrics.recordTiming(JOB_METRICS.progressWrite, this.#lastDurationMs)
    this.#isWriting = false
    if (this.#isStopped) return
    if (outcome === WRITE_OUTCOMES.rejected) return this.#handleRejection()
    if (outcome === WRITE_OUTCOMES.failed) {
      this.#options.onFailed()
      this.#restoreInFlight()
      return this.#retryLater()
    }
    for (const jobId of this.#inFlight.keys()) this.#isolated.delete(jobId)
    this.#inFlight = new Map()
    this.#releaseBarriers()
    this.#schedule()
  }

  /** Takes as many changed jobs as fit into one transaction, in the order of their changes, or one isolated job. */
  #takeBatch (): Mutation[] {
    const batch: Mutation[] = []
    this.#inFlight = new Map()
    const nowMs = this.#options.clock.readMonotonicMs()
    for (const [jobId, sequence] of this.#dirty) {
      const isolated = this.#isolated.get(jobId)
      if (isolated !== undefined && (nowMs < isolated.notBeforeMs || this.#inFlight.size > 0)) continue
      const mutations = this.#options.buildMutations(jobId)
      if (batch.length + mutations.length > MAXIMUM_MUTATIONS) break
      batch.push(...mutations)
      this.#inFlight.set(jobId, sequence)
      if (isolated !== undefined) break
    }
    for (const jobId of this.#inFlight.keys()) this.#dirty.delete(jobId)
    return batch
  }

  /** Isolates the jobs of a rejected transaction, since one of them would have all others rejected again. */
  #handleRejection (): void {
    const { clock, logger, onUnstorable } = this.#options
    const jobIds = [...this.#inFlight.keys()]
    const [only] = jobIds
    this.#restoreInFlight()
    for (const jobId of jobIds) if (!this.#isolated.has(jobId)) this.#isolated.set(jobId, { rejections: 0, notBeforeMs: 0 })
    const isolated = only === undefined || jobIds.length > 1 ? undefined : this.#isolated.get(only)
    if (only !== undefined && isolated !== undefined) {
      isolated.notBeforeMs = clock.readMonotonicMs() + REJECTED_RETRY_DELAY_MS
      if (++isolated.rejections === MAXIMUM_REJECTIONS) {
        logger.logError(JOB_EVENTS.recordRejected, { jobId: only, rejections: isolated.rejections })
        onUnstorable(only)
      }
    }
    this.#schedule()
  }

  async #commit (batch: readonly Mutation[]): Promise<WriteOutcome> {
    const { store, logger, ownerRevision, sequenceKey } = this.#options
    const marker = String(++this.#writeCount)
    const mutations: Mutation[] = [{ type: 'put', key: sequenceKey, value: marker }, ...batch]
    const transaction: Transaction = {
      comparisons: [{ key: OWNER_KEY, modRevision: ownerRevision }, { key: sequenceKey, modRevision: this.#sequenceRevision }],
      mutations
    }
    const result = await store.commitTransaction(transaction, 'critical')
    if (result.err) {
      const { code, isEffectUnknown } = result.val
      logger.logWarning(JOB_EVENTS.writeFailed, { code, records: this.#inFlight.size, isEffectUnknown })
      if (isRejection(result.val)) return WRITE_OUTCOMES.rejected
      return isEffectUnknown && await this.#resolveUnknownOutcome(marker) ? WRITE_OUTCOMES.stored : WRITE_OUTCOMES.failed
    }
    if (result.val.isCommitted) {
      this.#sequenceRevision = result.val.revision
      this.#isCommitWanted = false
      this.#options.onCommitted(result.val.revision)
      return WRITE_OUTCOMES.stored
    }
    return await this.#resolveUnknownOutcome(marker) ? WRITE_OUTCOMES.stored : WRITE_OUTCOMES.failed
  }

  /** Determines by reading whether a transaction with a failed comparison or an unknown outcome was carried out. */
  async #resolveUnknownOutcome (marker: string): Promise<boolean> {
    const { store, ownerRevision, onSuperseded, logger } = this.#options
    const { sequenceKey } = this.#options
    const [owner, sequence] = await Promise.all([store.readKey(OWNER_KEY, 'critical'), store.readKey(sequenceKey, 'critical')])
    if (owner.err || sequence.err) return false
    if (owner.val?.modRevision !== ownerRevision) {
      logger.logWarning(JOB_EVENTS.writeSuperseded, { ownerRevision, foundRevision: owner.val?.modRevision })
      if (!this.#isStopped) onSuperseded()
      return false
    }
    const found = sequence.val
    if (found === undefined || found.modRevision === this.#sequenceRevision) return false
    // Only this writer changes the sequence. A marker other than the current one comes from an earlier attempt carried out late.
    this.#sequenceRevision = found.modRevision
    return found.value === marker
  }

  #restoreInFlight (): void {
    const later = [...this.#dirty].filter(([jobId]) => !this.#inFlight.has(jobId))
    const restored = [...this.#inFlight, ...later]
    this.#dirty.clear()
    for (const [jobId, sequence] of restored) this.#dirty.set(jobId, sequence)
    this.#inFlight = new Map()
  }

  #retryLater (): void {
    if (this.#isStopped || this.#timer !== undefined) return
    this.#timer = this.#options.clock.startTimer(RETRY_DELAY_MS, () => {
      this.#timer = undefined
      void this.#write()
    })
  }

  #releaseBarriers (): void {
    const oldest = Math.min(...this.#dirty.values(), Number.POSITIVE_INFINITY)
    const isReleased = ({ sequence, jobId }: Barrier): boolean =>
      sequence < (jobId === undefined ? oldest : this.#dirty.get(jobId) ?? Number.POSITIVE_INFINITY)
    const released = this.#barriers.filter(isReleased)
    this.#barriers = this.#barriers.filter((barrier) => !isReleased(barrier))
    for (const barrier of released) barrier.callback()
  }
}
