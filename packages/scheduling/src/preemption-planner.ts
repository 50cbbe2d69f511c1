import { addAmounts, type Amounts, computeDominantShare } from './amounts.js'
import type { PoolState } from './pool-state.js'
import type { QueuedItem } from './queued-item.js'
import type { EstimateEnd } from './reservation-planner.js'
import type { RunningTask } from './running-task.js'
import type { SchedulerSettings } from './scheduler-settings.js'
import type { TargetState } from './target-state.js'
import { URGENCIES, type Urgency } from './urgency.js'

/** Running tasks to act on, all on one target, so that an urgent item fits there. */
export interface PreemptionPlan {
  readonly target: TargetState
  readonly victims: readonly RunningTask[]
  readonly action: 'checkpoint' | 'throttle'
}

const CLASS_WEIGHTS: Readonly<Record<Urgency, number>> = { urgent: 8, high: 4, normal: 2, low: 1 }
// Bounds the cost of one plan.
const MAX_SCANNED_TASKS = 256

function isVictim (task: RunningTask, action: PreemptionPlan['action'], excluded: readonly string[]): boolean {
  const { item } = task.request
  if (task.isPreempted || !task.state.isAccepting() || task.state.reservation !== undefined || excluded.includes(task.state.id)) return false
  // Stopping one task of a gang wastes the others, so gangs are never checkpointed.
  if (action === 'checkpoint') return item.isResumable && !item.isService && item.taskCount === 1
  return task.counted.cores > task.given.cores || task.counted.memoryMb > task.given.memoryMb
}

function computeReleased (task: RunningTask, action: PreemptionPlan['action']): Amounts {
  return action === 'checkpoint' ? task.counted : addAmounts(task.counted, task.given, -1)
}

/**
 * The cheapest way to make room for `entry` in the lowest class that has one. Throttling takes back what a task uses
 * beyond what it was given; checkpointing frees all of a resumable task. Undefined when no way gains more than it costs.
 */
export function planPreemption (
  pool: PoolState, entry: QueuedItem, needed: Amounts, naturalWaitMs: number, nowMs: number, settings: SchedulerSettings, estimateEnd: EstimateEnd
): PreemptionPlan | undefined {
  const gain = (naturalWaitMs - settings.checkpointCostMs) * CLASS_WEIGHTS[entry.item.urgency]
  const ownShare = Math.max(computeDominantShare(needed, pool.capacity), 1e-9)
  for (const urgency of [...URGENCIES].reverse()) {
    if (urgency === entry.item.urgency) break
    for (const action of ['throttle', 'checkpoint'] as const) {
      const candidates = new Map<TargetState, { victims: RunningTask[], free: Amounts, cost: number, isDone: boolean }>()
      let best: { plan: PreemptionPlan, cost: number } | undefined
      let scanned = 0
      for (const task of pool.running[urgency]) {
        if (++scanned > MAX_SCANNED_TASKS) break
        if (!isVictim(task, action, entry.item.excludedTargets) || estimateEnd(task) - nowMs <= settings.checkpointCostMs) continue
        const candidate = candidates.get(task.state) ?? { victims: [], free: task.state.free, cost: 0, isDone: false }
        if (candidate.isDone) continue
        candidates.set(task.state, candidate)
        candidate.victims.push(task)
        candidate.free = addAmounts(candidate.free, computeReleased(task, action), 1)
        const share = computeDominantShare(task.counted, pool.capacity) / ownShare
        candidate.cost += action === 'throttle' ? 0 : 2 * settings.checkpointCostMs * share * CLASS_WEIGHTS[urgency]
        if (needed.cores > candidate.free.cores || needed.memoryMb > candidate.free.memoryMb || needed.accelerators > candidate.free.accelerators) continue
        candidate.isDone = true
        if (best === undefined || candidate.cost < best.cost) best = { plan: { target: task.state, victims: candidate.victims, action }, cost: candidate.cost }
      }
      if (best !== undefined && best.cost < gain) return best.plan
    }
  }
  return undefined
}
