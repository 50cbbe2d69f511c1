/** From this number of targets on, failures of a job can be its own. With fewer, faulty targets are as likely. */
const MINIMUM_TARGETS = 3
/** A job that has failed this often and for this long without a success, also if it has only one target: faults last about 6.5 s. */
const PERSISTENT_MS = 8_000
const PERSISTENT_FAILURES = 4
/** Failures that ended longer ago than this no longer count. */
const MEMORY_MS = 60_000

interface JobFailures {
  readonly targetIds: Set<string>
  readonly firstAtMs: number
  lastAtMs: number
  count: number
  isOwn: boolean
}

/** A failed run, with what else is known of its job and its target. */
export interface FailedRun {
  readonly jobId: string
  readonly targetId: string
  /** Number of jobs with failed runs on the target, this one included. */
  readonly failedJobsOnTarget: number
  /** Number of the job's runs that haven't ended. */
  readonly liveRuns: number
}

/**
 * Tells failures that are a job's own from those of targets. A job that fails on several targets, on more than it has runs left and
 * at least as many as there are jobs that fail on its target, fails for a reason of its own; so does one that fails for longer than
 * faults of targets last. A success of the job refutes both.
 */
export class JobFailureTracker {
  readonly #jobs = new Map<string, JobFailures>()

  /** Records a failed run. Returns whether the failures of its job are its own. */
  recordFailure (nowMs: number, { jobId, targetId, failedJobsOnTarget, liveRuns }: FailedRun): boolean {
    const failures = this.#findRecent(nowMs, jobId) ??
      { targetIds: new Set<string>(), firstAtMs: nowMs, lastAtMs: nowMs, count: 0, isOwn: false }
    this.#jobs.set(jobId, failures)
    failures.targetIds.add(targetId)
    failures.lastAtMs = nowMs
    failures.count++
    const targets = failures.targetIds.size
    const isWidespread = targets >= MINIMUM_TARGETS && targets >= failedJobsOnTarget && targets > liveRuns
    const isPersistent = nowMs - failures.firstAtMs >= PERSISTENT_MS && failures.count >= PERSISTENT_FAILURES
    if (isWidespread || isPersistent) failures.isOwn = true
    return failures.isOwn
  }

  /** Records that a run of a job has succeeded, or that the job has ended. */
  forget (jobId: string): void {
    this.#jobs.delete(jobId)
  }

  /** Whether the failures of a job are its own. */
  isFailingItself (nowMs: number, jobId: string): boolean {
    return this.#findRecent(nowMs, jobId)?.isOwn === true
  }

  #findRecent (nowMs: number, jobId: string): JobFailures | undefined {
    const failures = this.#jobs.get(jobId)
    return failures === undefined || nowMs - failures.lastAtMs > MEMORY_MS ? undefined : failures
  }
}
