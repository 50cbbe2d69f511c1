/** Runs that ended longer ago than this no longer count. */
const FAILURE_WINDOW_MS = 8_000
/** Number of jobs with failed runs from which a target can be suspected. A job that fails on every target counts once. */
const FAILED_JOBS_THRESHOLD = 3
/** Consecutive failures, of more than one job, after which a target is suspected regardless of earlier successes. */
const FAILURE_STREAK = 3
/** Share of failed runs among the recent runs above which a target is suspected. */
const FAILURE_SHARE_THRESHOLD = 0.5
/** A suspected target gets no tasks for this long, then one at a time, beside those that it had before. */
const COOLDOWN_MS = 4_000
/** A target that refuses an order as unhealthy gets no tasks for this long. */
const REFUSAL_PAUSE_MS = 1_000

/** A run that may be a probe of a suspected target. */
interface ProbeRun { readonly sentAtMs: number, readonly expectedEndMs: number }

interface RecentRun { readonly atMs: number, readonly jobId: string, readonly hasFailed: boolean }

/** Circuit breaker of one target, driven by the outcomes of its runs: a target can fail its tasks while it reports itself healthy. */
export class TargetHealth {
  #recentRuns: RecentRun[] = []
  #cooldownUntilMs = 0
  #pausedUntilMs = 0
  #isSuspected = false
  /** Jobs whose failures made the target suspected, and those that have failed on it since. */
  readonly #suspectingJobs = new Set<string>()
  #hasStalled = false
  /** Monotonic time of the last failure or stall that made the target suspected. */
  #suspectedAtMs = 0

  /** Records the outcome of a run. Returns whether the target has just become suspected. */
  recordEnd (nowMs: number, jobId: string, hasFailed: boolean): boolean {
    this.#recentRuns = this.#recentRuns.filter((run) => nowMs - run.atMs < FAILURE_WINDOW_MS)
    this.#recentRuns.push({ atMs: nowMs, jobId, hasFailed })
    if (!hasFailed) {
      this.#clearSuspicion()
      return false
    }
    const failed = this.#recentRuns.filter((run) => run.hasFailed)
    const failedJobs = new Set(failed.map((run) => run.jobId)).size
    const isMostlyFailing = failedJobs >= FAILED_JOBS_THRESHOLD && failed.length > this.#recentRuns.length * FAILURE_SHARE_THRESHOLD
    if (!this.#isSuspected && !this.#hasFailureStreak() && !isMostlyFailing) return false
    const wasSuspected = this.#isSuspected
    for (const run of failed) this.#suspectingJobs.add(run.jobId)
    this.#suspect(nowMs)
    return !wasSuspected
  }

  /** Returns how many other jobs have failed runs on the target. */
  countOtherFailedJobs (nowMs: number, jobId: string): number {
    const failed = this.#recentRuns.filter((run) => run.hasFailed && run.jobId !== jobId && nowMs - run.atMs < FAILURE_WINDOW_MS)
    return new Set(failed.map((run) => run.jobId)).size
  }

  /** Drops the failures of a job that turned out to be its own. The target is trusted again if it was suspected because of them. */
  forgetFailures (jobId: string): void {
    this.#recentRuns = this.#recentRuns.filter((run) => !run.hasFailed || run.jobId !== jobId)
    // Failures of a single job are never held against a target.
    if (this.#suspectingJobs.delete(jobId) && this.#suspectingJobs.size <= 1 && !this.#hasStalled) {
      this.#clearSuspicion()
      this.#cooldownUntilMs = 0
    }
  }

  #hasFailureStreak (): boolean {
    const last = this.#recentRuns.slice(-FAILURE_STREAK)
    return last.length === FAILURE_STREAK && last.every((run) => run.hasFailed) && new Set(last.map((run) => run.jobId)).size > 1
  }

  /** Records that a run on the target makes no progress, which makes the target suspected. */
  recordStall (nowMs: number): void {
    this.#hasStalled = true
    this.#suspect(nowMs)
  }

  recordRefusal (nowMs: number): void {
    this.#pausedUntilMs = nowMs + REFUSAL_PAUSE_MS
  }

  /**
   * Whether the target may get a task. After the cooldown, a suspected target gets one as a probe, and another one only once that has
   * ended. Runs from before the suspicion don't count, nor do those that last, since they may never end.
   */
  shouldReceiveTasks (nowMs: number, runs: Iterable<ProbeRun>): boolean {
    if (nowMs < this.#pausedUntilMs || nowMs < this.#cooldownUntilMs) return false
    return !this.#isSuspected || !this.#hasProbe(runs)
  }

  #hasProbe (runs: Iterable<ProbeRun>): boolean {
    for (const { sentAtMs, expectedEndMs } of runs) if (sentAtMs > this.#suspectedAtMs && Number.isFinite(expectedEndMs)) return true
    return false
  }

  #clearSuspicion (): void {
    this.#isSuspected = false
    this.#hasStalled = false
    this.#suspectingJobs.clear()
  }

  #suspect (nowMs: number): void {
    this.#isSuspected = true
    this.#suspectedAtMs = nowMs
    this.#cooldownUntilMs = nowMs + COOLDOWN_MS
  }

  isSuspected (): boolean {
    return this.#isSuspected
  }
}
