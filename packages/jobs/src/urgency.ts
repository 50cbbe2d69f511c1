import { computeCriticalPathMs } from './job.js'
import type { JobProgress } from './job-progress.js'

/** A job shown as complete after this multiple of its objective earns nothing more than one that comes later still. */
const LATE_LIMIT_FACTOR = 3

/** Urgency of a job's next step; lower goes first. */
export interface Urgency {
  /** 0: can meet its objective; 1: late, but still of use; 2: later than that. */
  readonly band: number
  /** Monotonic time by which the step must start for the band's limit. */
  readonly latestStartMs: number
}

/** Computes how urgent a job is from its objective and the work that is left. */
export function computeUrgency (progress: JobProgress, nowMs: number): Urgency {
  const occurrence = progress.occurrences[progress.occurrences.length - 1] ?? []
  const remainingMs = computeCriticalPathMs(progress.job.steps, (index) => occurrence[index]?.isComplete() === true ? Number.POSITIVE_INFINITY : 0)
  const latestStartMs = progress.objectiveMs - remainingMs
  if (nowMs <= latestStartMs) return { band: 0, latestStartMs }
  const lateEndMs = progress.acceptedAtMs + (progress.objectiveMs - progress.acceptedAtMs) * LATE_LIMIT_FACTOR
  const lateStartMs = lateEndMs - remainingMs
  return { band: nowMs <= lateStartMs ? 1 : 2, latestStartMs: lateStartMs }
}

export function compareUrgency (left: Urgency, right: Urgency): number {
  return left.band - right.band || left.latestStartMs - right.latestStartMs
}
