import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { MetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import { JOB_EVENTS } from '../job-events.js'
import { JOB_METRICS } from '../job-metrics.js'
import type { ReadyStep } from '../job-table.js'
import type { StepProgress } from '../step-progress.js'
import { readStepName } from '../waiting-tasks.js'

/** Records which steps wait for the quota of their account: each step once in the log, and their number after each round. */
export class QuotaWaitRecorder {
  readonly #logger: EventLogger
  readonly #metrics: MetricSink
  readonly #recorded = new WeakSet<StepProgress>()
  #waitingCount = 0
  #publishedCount = 0

  constructor (logger: EventLogger, metrics: MetricSink) {
    this.#logger = logger
    this.#metrics = metrics
  }

  /** Records a step of which the quota leaves room for no task in this round. */
  recordWait ({ progress: { job }, step }: ReadyStep, account: string): void {
    this.#waitingCount++
    if (this.#recorded.has(step)) return
    this.#recorded.add(step)
    this.#logger.logInfo(JOB_EVENTS.jobWaitsForQuota, {
      jobId: job.id, step: readStepName(step), queue: job.terms.queue, account, pending: step.countPending()
    })
    this.#metrics.incrementCounter(JOB_METRICS.quotaWaits, 1, { queue: job.terms.queue })
  }

  /** Publishes the number of waiting steps at the end of a round, if it has changed. */
  publish (): void {
    if (this.#waitingCount !== this.#publishedCount) this.#metrics.setGauge(JOB_METRICS.quotaWaitingSteps, this.#waitingCount)
    this.#publishedCount = this.#waitingCount
    this.#waitingCount = 0
  }
}
