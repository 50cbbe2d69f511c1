import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { MetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import type { KeyValueStore } from '@hibiscusledge/store/key-value-store.js'
import type { ReadAccounts } from '../accounts/account-table.js'
import { JOB_EVENTS } from '../job-events.js'
import { formatFinishedKey, formatJobKey } from '../job-keys.js'
import { JOB_METRICS } from '../job-metrics.js'
import type { Job } from '../job.js'
import type { HeldWorkLimiter } from '../held-work/held-work-limiter.js'
import { decideAdmission, EARLY_REFUSAL_REASONS, type EarlyRefusal } from './admission-decision.js'
import type { LoadReceiver } from './load-receiver.js'

/** When a caller may try again after a refusal for what is held, with a random part, so that callers don't return together. */
const MINIMUM_RETRY_S = 1
const RETRY_SPREAD_S = 4

export interface JobAdmissionOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: EventLogger
  readonly metrics: MetricSink
  readonly store: KeyValueStore
  readonly loads: LoadReceiver
  readonly heldWork: HeldWorkLimiter
  readonly readAccounts: ReadAccounts
  /** Whether this instance has a write of this job at hand. */
  readonly isWriting: (id: string) => boolean
}

/**
 * Refuses new jobs early: in overload, and when an owner would have to hold too much for all accepted jobs. An attempt that is refused
 * has had no effect, and none is refused while an earlier attempt of the same job is known to have been stored or may be, by this
 * instance.
 */
export class JobAdmission {
  readonly #options: JobAdmissionOptions

  constructor (options: JobAdmissionOptions) {
    this.#options = options
  }

  /** Returns why the job is refused; undefined when it is to be stored. */
  async findRefusal (job: Job): Promise<EarlyRefusal | undefined> {
    const { logger, metrics, isWriting } = this.#options
    const refusal = this.#findOverload(job) ?? await this.#findExcess(job)
    if (refusal === undefined || isWriting(job.id) || !await this.#isUnknown(job.id) || isWriting(job.id)) return undefined
    const { reason, retryAfterS } = refusal
    logger.logInfo(JOB_EVENTS.refusedEarly, { jobId: job.id, queue: job.terms.queue, reason, retryAfterS })
    metrics.incrementCounter(JOB_METRICS.refusedEarly, 1, { queue: job.terms.queue })
    return refusal
  }

  #findOverload (job: Job): EarlyRefusal | undefined {
    const { clock, random, loads, readAccounts } = this.#options
    if (readAccounts().isEmpty()) return undefined
    return decideAdmission(job, loads.readFresh(clock.readMonotonicMs()), random.drawFraction())
  }

  /** Refuses a job with which an owner would have to hold more than the limit for all accepted jobs. */
  async #findExcess (job: Job): Promise<EarlyRefusal | undefined> {
    if (await this.#options.heldWork.tryAdmit(job)) return undefined
    const spreadS = Math.floor(this.#options.random.drawFraction() * (RETRY_SPREAD_S + 1))
    return { reason: EARLY_REFUSAL_REASONS.heldWork, retryAfterS: MINIMUM_RETRY_S + spreadS }
  }

  /** Whether the store surely has neither the job nor its final state. */
  async #isUnknown (id: string): Promise<boolean> {
    // In this order: the transaction that removes the job also writes its final state.
    for (const key of [formatJobKey(id), formatFinishedKey(id)]) {
      const result = await this.#options.store.readKey(key, 'critical')
      if (result.err || result.val !== undefined) return false
    }
    return true
  }
}
