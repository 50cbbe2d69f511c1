import { addScaledVector, type ResourceVector, computeDominantShare } from './resource-vector.js'
import type { PreemptDecision } from './decision.js'
import type { PoolState } from './pool-state.js'
import type { RuntimeEstimator } from './runtime-estimator.js'
import type { RunningTask } from './running-task.js'
import type { SchedulerSettings } from './scheduler-settings.js'
import type { TargetState } from './target-state.js'
import { URGENCIES, type Urgency } from './urgency.js'
import type { WorkItem } from './work-item.js'

/** Running tasks on one target to preempt so that an urgent item fits there. */
export interface PreemptionPlan {
  readonly target: TargetState
  readonly victims: readonly RunningTask[]
  readonly action: PreemptDecision['action']
}

/** The item to place and its expected wait without preemption. */
export interface PreemptionQuery {
  readonly item: WorkItem
  readonly demand: ResourceVector
  readonly waitWithoutPreemptionMs: number
}

interface Candidate {
  readonly victims: RunningTask[]
  free: ResourceVector
  cost: number
}

/** Weight of one millisecond of delay of each urgency class when the gain and the cost of a preemption are compared. */
const CLASS_WEIGHTS: Readonly<Record<Urgency, number>> = { urgent: 8, high: 4, normal: 2, low: 1 }
// Bounds the cost of one plan.
const MAX_SCANNED_TASKS = 128

function isPreemptible (task: RunningTask, action: PreemptDecision['action'], excluded: readonly string[]): boolean {
  const { item } = task.request
  const isUsable = task.targetState.isAccepting() && task.targetState.reservation === undefined && !excluded.includes(task.targetState.id)
  if (task.isPreempted || !isUsable) return false
  // Checkpointing one task of a gang would waste the others, so gangs are never checkpointed.
  if (action === 'checkpoint') return item.isResumable && !item.isService && item.taskCount === 1
  return task.charged.cores > task.allocated.cores || task.charged.memoryMb > task.allocated.memoryMb
}

/** Returns the capacity that an action frees: throttling what the task uses beyond its allocation, a checkpoint all of it. */
function computeReclaimed (task: RunningTask, action: PreemptDecision['action']): ResourceVector {
  return action === 'checkpoint' ? task.charged : addScaledVector(task.charged, task.allocated, -1)
}

/** Returns the cheapest plan that applies one action to tasks of one class, or undefined when none frees enough capacity. */
function planForClass (
  pool: PoolState, urgency: Urgency, action: PreemptDecision['action'], query: PreemptionQuery, estimator: RuntimeEstimator, checkpointCostMs: number
): { plan: PreemptionPlan, cost: number } | undefined {
  const { item, demand } = query
  // 1e-9 avoids a division by 0.
  const ownShare = Math.max(computeDominantShare(demand, pool.capacity), 1e-9)
  const costPerShare = action === 'throttle' ? 0 : 2 * checkpointCostMs * CLASS_WEIGHTS[urgency] / ownShare
  const candidates = new Map<TargetState, Candidate>()
  let best: { plan: PreemptionPlan, cost: number } | undefined
  let scanned = 0
  for (const task of pool.running[urgency]) {
    if (++scanned > MAX_SCANNED_TASKS) break
    if (!isPreemptible(task, action, item.excludedTargets)) continue
    if (estimator.estimateEndOfTask(task) - estimator.nowMs <= checkpointCostMs) continue
    const candidate = candidates.get(task.targetState) ?? { victims: [], free: task.targetState.free, cost: 0 }
    candidates.set(task.targetState, candidate)
    if (isCovered(demand, candidate.free)) continue
    candidate.victims.push(task)
    candidate.free = addScaledVector(candidate.free, computeReclaimed(task, action), 1)
    candidate.cost += costPerShare * computeDominantShare(task.charged, pool.capacity)
    if (!isCovered(demand, candidate.free) || (best !== undefined && candidate.cost >= best.cost)) continue
    best = { plan: { target: task.targetState, victims: candidate.victims, action }, cost: candidate.cost }
  }
  return best
}

function isCovered (demand: ResourceVector, free: ResourceVector): boolean {
  return demand.cores <= free.cores && demand.memoryMb <= free.memoryMb && demand.accelerators <= free.accelerators
}

/**
 * Plans the preemption of tasks less urgent than the item, from the least urgent class upwards and by throttling before
 * checkpoints. Returns the cheapest plan of the first class and action that gains more than it costs, or undefined.
 */
export function planPreemption (
  pool: PoolState, query: PreemptionQuery, estimator: RuntimeEstimator, settings: SchedulerSettings
): PreemptionPlan | undefined {
  const gain = (query.waitWithoutPreemptionMs - settings.checkpointCostMs) * CLASS_WEIGHTS[query.item.urgency]
  for (const urgency of [...URGENCIES].reverse()) {
    if (urgency === query.item.urgency) break
    for (const action of ['throttle', 'checkpoint'] as const) {
      const best = planForClass(pool, urgency, action, query, estimator, settings.checkpointCostMs)
      if (best !== undefined && best.cost < gain) return best.plan
    }
  }
  return undefined
}
