import type { TaskRun } from './task-run.js'

/** Kept for noticing an end and starting the task elsewhere. */
const EVICTION_MARGIN_MS = 200
/** Progress from which a run's own pace tells more than its estimate. */
const RELIABLE_PACE_PERCENT = 5

/**
 * Whether a run on a target that is about to leave would be cut off. It is then stopped at once, so that its task starts
 * elsewhere without waiting for the target to go and for its lease to run out.
 */
export function shouldEvictRun (run: TaskRun, estimatedMs: number, leavesAtMs: number, nowMs: number): boolean {
  return nowMs + estimateRemainingMs(run, estimatedMs, nowMs) > leavesAtMs - EVICTION_MARGIN_MS
}

/** Time that a run still needs: the longer of what its estimate and its pace so far tell, since both are rough. */
function estimateRemainingMs (run: TaskRun, estimatedMs: number, nowMs: number): number {
  const shareLeft = 1 - run.percent / 100
  const byEstimateMs = estimatedMs * shareLeft
  if (run.percent < RELIABLE_PACE_PERCENT) return byEstimateMs
  const byPaceMs = (nowMs - run.sentAtMs) * shareLeft / (1 - shareLeft)
  return Number.isFinite(byPaceMs) ? Math.max(byEstimateMs, byPaceMs) : byEstimateMs
}
