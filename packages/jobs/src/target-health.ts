/** Failures older than this no longer count. */
const WINDOW_MS = 8_000
/** Failed jobs on one target before it is suspected; a job that fails everywhere counts once. */
const SUSPECT_AFTER_JOBS = 3
/** Failures in a row, of more than one job, after which a target is suspected whatever went before. */
const SUSPECT_AFTER_IN_A_ROW = 3
/** Share of failed runs among the recent ones above which a target is suspected. */
const SUSPECT_SHARE = 0.5
/** A suspected target gets no work for this long, then one task at a time. */
const SUSPENSION_MS = 4_000
/** A target that refuses an order as unhealthy gets no work for this long. */
const REFUSAL_PAUSE_MS = 1_000

interface RecentEnd { readonly atMs: number, readonly jobId: string, readonly hasFailed: boolean }

/** Judges a target by how the runs on it end, since a target can fail its work while it reports good health. */
export class TargetHealth {
  #ends: RecentEnd[] = []
  #suspendedUntilMs = 0
  #pausedUntilMs = 0
  #isSuspected = false

  /** Records an end and tells whether the target has just become suspected. */
  recordEnd (nowMs: number, jobId: string, hasFailed: boolean): boolean {
    this.#ends = this.#ends.filter((end) => nowMs - end.atMs < WINDOW_MS)
    this.#ends.push({ atMs: nowMs, jobId, hasFailed })
    if (!hasFailed) {
      this.#isSuspected = false
      return false
    }
    const failed = this.#ends.filter((end) => end.hasFailed)
    const failedJobs = new Set(failed.map((end) => end.jobId)).size
    const isMostlyFailing = failedJobs >= SUSPECT_AFTER_JOBS && failed.length > this.#ends.length * SUSPECT_SHARE
    if (!this.#isSuspected && !this.#hasFailedInARow() && !isMostlyFailing) return false
    const wasSuspected = this.#isSuspected
    this.#isSuspected = true
    this.#suspendedUntilMs = nowMs + SUSPENSION_MS
    return !wasSuspected
  }

  #hasFailedInARow (): boolean {
    const last = this.#ends.slice(-SUSPECT_AFTER_IN_A_ROW)
    return last.length === SUSPECT_AFTER_IN_A_ROW && last.every((end) => end.hasFailed) && new Set(last.map((end) => end.jobId)).size > 1
  }

  /** Records that the target's tasks make no progress. */
  recordStall (nowMs: number): void {
    this.#isSuspected = true
    this.#suspendedUntilMs = nowMs + SUSPENSION_MS
  }

  recordRefusal (nowMs: number): void {
    this.#pausedUntilMs = nowMs + REFUSAL_PAUSE_MS
  }

  /** Whether the target may get work; a suspected one only when nothing runs on it, as a probe. */
  shouldTakeWork (nowMs: number, runCount: number): boolean {
    if (nowMs < this.#pausedUntilMs || nowMs < this.#suspendedUntilMs) return false
    return !this.#isSuspected || runCount === 0
  }

  isSuspected (): boolean {
    return this.#isSuspected
  }
}
