import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { JOB_EVENTS } from '../job-events.js'
import { JobFailureTracker } from './job-failure-tracker.js'
import type { JobTable } from '../job-table.js'
import { isStableRun } from './restart-backoff.js'
import type { TargetHealth } from '../target-health.js'
import type { TaskRun } from '../task-run.js'

/** A job later than three objectives that keeps failing comes last for this long after its last failure. Then it is tried in its turn. */
const DEMOTION_MS = 30_000

/** The health of each target, as the failures of its runs have made it. */
export type HealthByTarget = ReadonlyMap<string, { readonly health: TargetHealth }>

/** Attributes the failures of runs to their jobs or to their targets, with what is known across targets. */
export class FailureAttribution {
  readonly #clock: Clock
  readonly #logger: EventLogger
  readonly #table: JobTable
  readonly #targets: HealthByTarget
  readonly #tracker = new JobFailureTracker()

  constructor (clock: Clock, logger: EventLogger, table: JobTable, targets: HealthByTarget) {
    this.#clock = clock
    this.#logger = logger
    this.#table = table
    this.#targets = targets
  }

  /** Records a run that succeeded. */
  recordSuccess ({ task: { jobId } }: TaskRun): void {
    this.#tracker.forget(jobId)
  }

  /** Records a failed run. Returns whether the failure counts against the target; otherwise it is the job's own. */
  recordFailure (run: TaskRun): boolean {
    const nowMs = this.#clock.readMonotonicMs()
    const { task: { jobId }, targetId } = run
    const progress = this.#table.find(jobId)
    // A task that lasts never succeeds, but one that was at work for long has shown the same.
    if (progress === undefined || (!Number.isFinite(run.expectedEndMs) && isStableRun(run, nowMs))) this.#tracker.forget(jobId)
    if (progress === undefined) return true
    const wasOwn = this.#tracker.isFailingItself(nowMs, jobId)
    const failedJobsOnTarget = (this.#targets.get(targetId)?.health.countOtherFailedJobs(nowMs, jobId) ?? 0) + 1
    // The run that has failed is still counted.
    const isOwn = this.#tracker.recordFailure(nowMs, { jobId, targetId, failedJobsOnTarget, liveRuns: progress.countRuns() - 1 })
    if (!isOwn) return true
    progress.demotedUntilMs = nowMs + DEMOTION_MS
    if (wasOwn) return false
    for (const { health } of this.#targets.values()) health.forgetFailures(jobId)
    this.#logger.logWarning(JOB_EVENTS.jobKeepsFailing, { jobId, queue: progress.job.terms.queue, target: targetId })
    return false
  }

  /** Forgets a job that has ended. */
  forgetJob (jobId: string): void {
    this.#tracker.forget(jobId)
  }
}
