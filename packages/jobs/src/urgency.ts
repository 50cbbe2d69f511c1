import type { JobProgress } from './job-progress.js'

/** A job that completes after this multiple of its objective has no more value than one that completes later still. */
export const LATE_LIMIT_FACTOR = 3

/** Groups of steps. Lower ones are placed first. */
export const URGENCY_BANDS = {
  /** The objective can be met, or the job is late and overload control lets it go among those that can meet theirs. */
  inTime: 0,
  /** The objective could be met, but overload control lets other jobs go first. */
  delayed: 1,
  /** Late, within `LATE_LIMIT_FACTOR`. */
  late: 2,
  /** Later than that. */
  overdue: 3,
  /** Later than that, of a job that keeps failing. */
  demoted: 4
} as const
export type UrgencyBand = typeof URGENCY_BANDS[keyof typeof URGENCY_BANDS]

/** Urgency of a job's next step. Earlier start times are placed first within a band. */
export interface Urgency {
  readonly band: UrgencyBand
  /** Monotonic time by which the step must start to stay within the limit of its band. */
  readonly latestStartMs: number
}

/** What overload control has decided on a job. */
export const OVERLOAD_DECISIONS = {
  /** The job is in time, and goes after the others that are. */
  delayed: 'delayed',
  /** The job is late, and goes among those in time, which it doesn't make late. */
  promoted: 'promoted'
} as const
export type OverloadDecision = typeof OVERLOAD_DECISIONS[keyof typeof OVERLOAD_DECISIONS]

/** Returns the monotonic time after which the completion of a late job has no value any more. */
export function computeLateEndMs ({ acceptedAtMs, objectiveMs }: JobProgress): number {
  return acceptedAtMs + (objectiveMs - acceptedAtMs) * LATE_LIMIT_FACTOR
}

/** Computes the urgency of a job from its objective and the critical path of its incomplete steps. */
export function computeUrgency (progress: JobProgress, nowMs: number, decision?: OverloadDecision): Urgency {
  const remainingMs = progress.computeRemainingMs()
  const latestStartMs = progress.objectiveMs - remainingMs
  if (nowMs <= latestStartMs) {
    return { band: decision === OVERLOAD_DECISIONS.delayed ? URGENCY_BANDS.delayed : URGENCY_BANDS.inTime, latestStartMs }
  }
  const lateStartMs = computeLateEndMs(progress) - remainingMs
  if (nowMs <= lateStartMs) {
    return { band: decision === OVERLOAD_DECISIONS.promoted ? URGENCY_BANDS.inTime : URGENCY_BANDS.late, latestStartMs: lateStartMs }
  }
  // The oldest of the latest jobs comes first, which must not be one that always fails.
  return { band: progress.isFailingItself(nowMs) ? URGENCY_BANDS.demoted : URGENCY_BANDS.overdue, latestStartMs: lateStartMs }
}

export function compareUrgency (left: Urgency, right: Urgency): number {
  return left.band - right.band || left.latestStartMs - right.latestStartMs
}
