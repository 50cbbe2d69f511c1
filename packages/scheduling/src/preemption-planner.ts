import { addAmounts, type Amounts, computeDominantShare } from './amounts.js'
import type { PreemptDecision } from './decision.js'
import type { PoolState } from './pool-state.js'
import type { RunEstimator } from './run-estimator.js'
import type { RunningTask } from './running-task.js'
import type { SchedulerSettings } from './scheduler-settings.js'
import type { TargetState } from './target-state.js'
import { URGENCIES, type Urgency } from './urgency.js'
import type { WorkItem } from './work-item.js'

/** Running tasks to act on, all on one target, so that an urgent item fits there. */
export interface PreemptionPlan {
  readonly target: TargetState
  readonly victims: readonly RunningTask[]
  readonly action: PreemptDecision['action']
}

/** What is to be placed and how long it would wait without preemption. */
export interface PreemptionQuery {
  readonly item: WorkItem
  readonly needed: Amounts
  readonly naturalWaitMs: number
}

interface Candidate {
  readonly victims: RunningTask[]
  free: Amounts
  cost: number
}

/** What a millisecond of waiting of each class counts when gain and cost are compared. */
const CLASS_WEIGHTS: Readonly<Record<Urgency, number>> = { urgent: 8, high: 4, normal: 2, low: 1 }
// Bounds the cost of one plan.
const MAX_SCANNED_TASKS = 128

function isVictim (task: RunningTask, action: PreemptDecision['action'], excluded: readonly string[]): boolean {
  const { item } = task.request
  const isUsable = task.state.isAccepting() && task.state.reservation === undefined && !excluded.includes(task.state.id)
  if (task.isPreempted || !isUsable) return false
  // Stopping one task of a gang wastes the others, so gangs are never checkpointed.
  if (action === 'checkpoint') return item.isResumable && !item.isService && item.taskCount === 1
  return task.counted.cores > task.given.cores || task.counted.memoryMb > task.given.memoryMb
}

/** Throttling takes back what a task uses beyond what it was given; a checkpoint frees all of it. */
function computeReleased (task: RunningTask, action: PreemptDecision['action']): Amounts {
  return action === 'checkpoint' ? task.counted : addAmounts(task.counted, task.given, -1)
}

/** The cheapest room that one action on one class makes, or undefined when it makes none. */
function planInClass (
  pool: PoolState, urgency: Urgency, action: PreemptDecision['action'], query: PreemptionQuery, estimator: RunEstimator, checkpointCostMs: number
): { plan: PreemptionPlan, cost: number } | undefined {
  const { item, needed } = query
  const ownShare = Math.max(computeDominantShare(needed, pool.capacity), 1e-9)
  const costPerShare = action === 'throttle' ? 0 : 2 * checkpointCostMs * CLASS_WEIGHTS[urgency] / ownShare
  const candidates = new Map<TargetState, Candidate>()
  let best: { plan: PreemptionPlan, cost: number } | undefined
  let scanned = 0
  for (const task of pool.running[urgency]) {
    if (++scanned > MAX_SCANNED_TASKS) break
    if (!isVictim(task, action, item.excludedTargets)) continue
    if (estimator.estimateEndOfTask(task) - estimator.nowMs <= checkpointCostMs) continue
    const candidate = candidates.get(task.state) ?? { victims: [], free: task.state.free, cost: 0 }
    candidates.set(task.state, candidate)
    if (isCovered(needed, candidate.free)) continue
    candidate.victims.push(task)
    candidate.free = addAmounts(candidate.free, computeReleased(task, action), 1)
    candidate.cost += costPerShare * computeDominantShare(task.counted, pool.capacity)
    if (!isCovered(needed, candidate.free) || (best !== undefined && candidate.cost >= best.cost)) continue
    best = { plan: { target: task.state, victims: candidate.victims, action }, cost: candidate.cost }
  }
  return best
}

function isCovered (needed: Amounts, free: Amounts): boolean {
  return needed.cores <= free.cores && needed.memoryMb <= free.memoryMb && needed.accelerators <= free.accelerators
}

/** The cheapest way to make room in the lowest class that has one. Undefined when no way gains more than it costs. */
export function planPreemption (
  pool: PoolState, query: PreemptionQuery, estimator: RunEstimator, settings: SchedulerSettings
): PreemptionPlan | undefined {
  const gain = (query.naturalWaitMs - settings.checkpointCostMs) * CLASS_WEIGHTS[query.item.urgency]
  for (const urgency of [...URGENCIES].reverse()) {
    if (urgency === query.item.urgency) break
    for (const action of ['throttle', 'checkpoint'] as const) {
      const best = planInClass(pool, urgency, action, query, estimator, settings.checkpointCostMs)
      if (best !== undefined && best.cost < gain) return best.plan
    }
  }
  return undefined
}
