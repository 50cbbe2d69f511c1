import { computeCriticalPathMs, type Job } from '../job.js'
import { LATE_LIMIT_FACTOR } from '../urgency.js'
import type { LoadReport } from './load-report.js'
import { computeTotalWork } from './work-amount.js'

/** Bounds of `Retry-After`, with its random part, in seconds. */
const MINIMUM_RETRY_S = 1
const MAXIMUM_RETRY_S = 30
/** Random part of `Retry-After`, so that callers don't return together. */
const SPREAD_SHARE = 0.25

/** Estimates of run times are off by a factor of nearly two, so a job that would come too late by less than this is accepted. */
const ESTIMATE_ERROR_FACTOR = 2

export const EARLY_REFUSAL_REASONS = {
  /** The job would complete only after three times its objective. */
  overload: 'overload',
  /** An owner would have to hold too much for all accepted jobs. */
  heldWork: 'heldWork'
} as const
export type EarlyRefusalReason = typeof EARLY_REFUSAL_REASONS[keyof typeof EARLY_REFUSAL_REASONS]

/** A job that is refused before anything of it is stored, and the time after which the caller may try again. */
export interface EarlyRefusal {
  readonly reason: EarlyRefusalReason
  readonly retryAfterS: number
}

/**
 * Decides whether a new job is refused: if it would complete only after three times its objective even if the work ahead took half as
 * long as estimated. `report` is the fresh report
 * of the present owner; without one, every job is accepted. `fraction` is a random number in [0, 1).
 */
export function decideAdmission (job: Job, report: LoadReport | undefined, fraction: number): EarlyRefusal | undefined {
  const { service, priority, stretch, targetDurationMs } = job.terms
  // The completion of such jobs isn't known from the work ahead.
  if (job.schedule !== undefined || job.steps.some((step) => step.isLongRunning)) return undefined
  const load = report?.services.find((candidate) => candidate.service === service)
  const own = load?.priorities.findLast((candidate) => candidate.priority <= priority)
  if (load === undefined || own === undefined || own.ahead === 0 || load.drainRate === 0) return undefined
  const pathMs = computeCriticalPathMs(job.steps)
  const waitMs = own.ahead / load.drainRate
  const shortestWaitMs = waitMs / ESTIMATE_ERROR_FACTOR
  const limitMs = LATE_LIMIT_FACTOR * (stretch * pathMs + targetDurationMs)
  const ownMs = computeTotalWork(job.steps)[load.resource] / load.drainRate
  // A job that would take too long on its own must not be refused for that, since waiting wouldn't help.
  const serviceMs = ownMs > limitMs ? pathMs : Math.max(pathMs, ownMs)
  const excessMs = Math.min(waitMs, waitMs + serviceMs - limitMs)
  if (excessMs <= 0 || shortestWaitMs + serviceMs <= limitMs) return undefined
  return { reason: EARLY_REFUSAL_REASONS.overload, retryAfterS: computeRetryAfterS(excessMs, fraction) }
}

/** Returns whole seconds after which this much work has drained, with the random part. */
function computeRetryAfterS (excessMs: number, fraction: number): number {
  const longestS = Math.floor(MAXIMUM_RETRY_S / (1 + SPREAD_SHARE))
  const baseS = Math.min(longestS, Math.max(MINIMUM_RETRY_S, Math.ceil(excessMs / 1_000)))
  return baseS + Math.floor(fraction * (baseS * SPREAD_SHARE + 1))
}
