import type { JobStep } from '../job.js'
import type { TargetView } from '../target-view.js'

/** Added to the score of a target on which the step would probably miss its objective. Lower scores are better. */
const TOO_SLOW_PENALTY = 4
/** Subtracted from the score of a slow target for a step that can wait, for each multiple of the median run time. */
const SLOW_TARGET_PREFERENCE = 0.5
const MAXIMUM_PREFERENCE = 1
/** A step prefers slow targets only if it could take this multiple of the additional time, since estimates are rough. */
const SLACK_FACTOR = 2
/** Up to this relative run time a target counts as not slow, since the estimates of speed are rough too. */
const STEADY_RUN_TIME = 1.3

/** Scores a target by its speed: urgent steps avoid slow targets, and work with slack takes them, which leaves the fast ones free. */
export function computeSpeedScore ({ estimatedMs, isGang, isLongRunning }: JobStep, slackMs: number, relativeRunTime: number): number {
  if (isLongRunning || relativeRunTime <= STEADY_RUN_TIME) return 0
  const excessMs = estimatedMs * (relativeRunTime - 1)
  if (excessMs > slackMs) return TOO_SLOW_PENALTY
  if (isGang || excessMs * SLACK_FACTOR > slackMs) return 0
  return -Math.min(MAXIMUM_PREFERENCE, (relativeRunTime - 1) * SLOW_TARGET_PREFERENCE)
}

/** Lists the targets that aren't slow. A gang is placed on these if they suffice, since it advances at the pace of its slowest member. */
export function listSteadyTargets (targets: readonly TargetView[]): readonly TargetView[] {
  return targets.filter(({ relativeRunTime = 1 }) => relativeRunTime <= STEADY_RUN_TIME)
}
