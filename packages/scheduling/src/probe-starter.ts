import type { StartDecision } from './decision.js'
import { computeDemand } from './item-demand.js'
import type { PoolPass } from './pool-pass.js'
import type { SchedulerContext } from './scheduler-context.js'
import { commitStart } from './start-committer.js'
import type { TargetState } from './target-state.js'
import { URGENCIES, type Urgency } from './urgency.js'
import type { WorkItem } from './work-item.js'

const LEAST_URGENT_FIRST: readonly Urgency[] = [...URGENCIES].reverse()

/** Whether the item may probe a quarantined target: a failed run must have no effect but a retry. */
function isSuitableForProbe (item: WorkItem): boolean {
  return item.isIdempotent && !item.isExclusive && !item.isService && item.taskCount === 1
}

function startProbe (
  context: SchedulerContext, pass: PoolPass, target: TargetState, urgency: Urgency, nowMs: number
): StartDecision | undefined {
  const { pool } = pass
  const queued = pass.chooseNextItem(urgency)
  if (queued === undefined) return undefined
  const { item } = queued
  if (!isSuitableForProbe(item) || item.excludedTargets.includes(target.id)) return undefined
  const demand = computeDemand(pool, context.profiles, item)
  if (!pool.isFittingNow(target, demand) || pass.findLimit(queued, demand) !== undefined) return undefined
  context.accounting.addUse(pool, item, target, demand, 1)
  context.failures.recordProbeStart(target)
  const decision = commitStart(context, pool, queued, { targets: [target], demand, isProbe: true }, nowMs)
  pass.recordStart(queued)
  return decision
}

function startAnyProbe (
  context: SchedulerContext, passes: readonly PoolPass[], target: TargetState, nowMs: number
): StartDecision | undefined {
  for (const pass of passes) {
    if (!target.pools.includes(pass.pool)) continue
    for (const urgency of LEAST_URGENT_FIRST) {
      const decision = startProbe(context, pass, target, urgency, nowMs)
      if (decision !== undefined) return decision
    }
  }
  return undefined
}

/** Starts one idempotent single-task item of the least urgent class that has one on each quarantined target due for a probe. */
export function startProbes (context: SchedulerContext, passes: readonly PoolPass[], nowMs: number, maxDecisions: number): StartDecision[] {
  const decisions: StartDecision[] = []
  for (const target of context.failures.listProbeable(nowMs)) {
    if (decisions.length >= maxDecisions) break
    const decision = startAnyProbe(context, passes, target, nowMs)
    if (decision !== undefined) decisions.push(decision)
  }
  return decisions
}
