/** Failures older than this no longer count. */
const FAILURE_WINDOW_MS = 8_000
/** Failed jobs on one target before it is suspected; a job that fails everywhere counts once. */
const FAILED_JOBS_THRESHOLD = 3
/** Failures in a row, of more than one job, after which a target is suspected whatever went before. */
const FAILURE_STREAK = 3
/** Share of failed runs among the recent ones above which a target is suspected. */
const FAILURE_SHARE_THRESHOLD = 0.5
/** A suspected target gets no work for this long, then one task at a time. */
const COOLDOWN_MS = 4_000
/** A target that refuses an order as unhealthy gets no work for this long. */
const REFUSAL_PAUSE_MS = 1_000

interface RecentRun { readonly atMs: number, readonly jobId: string, readonly hasFailed: boolean }

/** Judges a target by how the runs on it end, since a target can fail its work while it reports good health. */
export class TargetHealth {
  #recentRuns: RecentRun[] = []
  #cooldownUntilMs = 0
  #pausedUntilMs = 0
  #isSuspected = false

  /** Records an end and tells whether the target has just become suspected. */
  recordEnd (nowMs: number, jobId: string, hasFailed: boolean): boolean {
    this.#recentRuns = this.#recentRuns.filter((end) => nowMs - end.atMs < FAILURE_WINDOW_MS)
    this.#recentRuns.push({ atMs: nowMs, jobId, hasFailed })
    if (!hasFailed) {
      this.#isSuspected = false
      return false
    }
    const failed = this.#recentRuns.filter((end) => end.hasFailed)
    const failedJobs = new Set(failed.map((end) => end.jobId)).size
    const isMostlyFailing = failedJobs >= FAILED_JOBS_THRESHOLD && failed.length > this.#recentRuns.length * FAILURE_SHARE_THRESHOLD
    if (!this.#isSuspected && !this.#hasFailureStreak() && !isMostlyFailing) return false
    const wasSuspected = this.#isSuspected
    this.#isSuspected = true
    this.#cooldownUntilMs = nowMs + COOLDOWN_MS
    return !wasSuspected
  }

  #hasFailureStreak (): boolean {
    const last = this.#recentRuns.slice(-FAILURE_STREAK)
    return last.length === FAILURE_STREAK && last.every((end) => end.hasFailed) && new Set(last.map((end) => end.jobId)).size > 1
  }

  /** Records that the target's tasks make no progress. */
  recordStall (nowMs: number): void {
    this.#isSuspected = true
    this.#cooldownUntilMs = nowMs + COOLDOWN_MS
  }

  recordRefusal (nowMs: number): void {
    this.#pausedUntilMs = nowMs + REFUSAL_PAUSE_MS
  }

  /** Whether the target may get work; a suspected one only when nothing runs on it, as a probe. */
  shouldReceiveTasks (nowMs: number, runCount: number): boolean {
    if (nowMs < this.#pausedUntilMs || nowMs < this.#cooldownUntilMs) return false
    return !this.#isSuspected || runCount === 0
  }

  isSuspected (): boolean {
    return this.#isSuspected
  }
}
