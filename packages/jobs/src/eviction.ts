import type { TaskRun } from './task-run.js'

/** Time reserved to notice that the run has ended and to start its task elsewhere. */
const EVICTION_MARGIN_MS = 200
/** Below this progress the pace of a run is too unreliable to estimate its remaining time. */
const RELIABLE_PACE_PERCENT = 5

/**
 * Whether a run would not finish before its draining target leaves. Evicting it at once lets its task start elsewhere
 * without waiting for the target to leave and for its lease to expire.
 */
export function shouldEvictRun (run: TaskRun, estimatedMs: number, leavesAtMs: number, nowMs: number): boolean {
  return nowMs + estimateRemainingMs(run, estimatedMs, nowMs) > leavesAtMs - EVICTION_MARGIN_MS
}

/** Returns the longer of the remaining times derived from the estimate and from the pace so far, since both are rough. */
function estimateRemainingMs (run: TaskRun, estimatedMs: number, nowMs: number): number {
  const shareLeft = 1 - run.percent / 100
  const byEstimateMs = estimatedMs * shareLeft
  if (run.percent < RELIABLE_PACE_PERCENT) return byEstimateMs
  const byPaceMs = (nowMs - run.sentAtMs) * shareLeft / (1 - shareLeft)
  return Number.isFinite(byPaceMs) ? Math.max(byEstimateMs, byPaceMs) : byEstimateMs
}
