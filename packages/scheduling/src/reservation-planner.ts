import { addScaledVector, type ResourceVector, countFits } from './resource-vector.js'
import type { PoolState } from './pool-state.js'
import type { RuntimeEstimator } from './runtime-estimator.js'
import type { TargetState } from './target-state.js'
import type { WorkItem } from './work-item.js'

/** Where and when an item's tasks are expected to fit. */
export interface ReservationPlan {
  readonly targets: readonly TargetState[]
  readonly startAtMs: number
}

interface FitEvent {
  readonly atMs: number
  readonly state: TargetState
  /** How many more tasks the target holds from then on. */
  readonly addedFits: number
}

// Bounds the cost of one plan; the most free workers are the likeliest to come free first.
const MIN_CANDIDATES = 32
const CANDIDATES_PER_TASK = 4

function collectFitEvents (state: TargetState, demand: ResourceVector, estimator: RuntimeEstimator, events: FitEvent[]): void {
  let { free } = state
  let fits = countFits(demand, free)
  if (fits > 0) events.push({ atMs: estimator.nowMs, state, addedFits: fits })
  const ends = [...state.tasks].map((task) => ({ task, atMs: estimator.estimateEndOfTask(task) })).filter((end) => end.atMs < Infinity)
  ends.sort((left, right) => left.atMs - right.atMs)
  for (const end of ends) {
    free = addScaledVector(free, end.task.charged, 1)
    const more = countFits(demand, free)
    if (more > fits) events.push({ atMs: end.atMs, state, addedFits: more - fits })
    fits = Math.max(fits, more)
  }
}

function chooseTargetsWithMostFits (fitsByTarget: ReadonlyMap<TargetState, number>, taskCount: number): TargetState[] {
  const largestFirst = [...fitsByTarget].sort((left, right) => right[1] - left[1] || left[0].ordinal - right[0].ordinal)
  const targets: TargetState[] = []
  let fitted = 0
  for (const [state, fits] of largestFirst) {
    if (fitted >= taskCount) break
    targets.push(state)
    fitted += fits
  }
  return targets
}

/** The earliest time at which `taskCount` tasks fit on `candidates`, and the targets that hold them then. */
export function planOnTargets (
  candidates: readonly TargetState[], demand: ResourceVector, taskCount: number, estimator: RuntimeEstimator
): ReservationPlan | undefined {
  const events: FitEvent[] = []
  for (const state of candidates) collectFitEvents(state, demand, estimator, events)
  events.sort((left, right) => left.atMs - right.atMs || left.state.ordinal - right.state.ordinal)
  const fitsByTarget = new Map<TargetState, number>()
  let total = 0
  for (const event of events) {
    fitsByTarget.set(event.state, (fitsByTarget.get(event.state) ?? 0) + event.addedFits)
    total += event.addedFits
    if (total >= taskCount) return { targets: chooseTargetsWithMostFits(fitsByTarget, taskCount), startAtMs: event.atMs }
  }
  return undefined
}

/** Plans a reservation on targets of the pool that no other item has reserved. */
export function planReservation (
  pool: PoolState, item: WorkItem, demand: ResourceVector, estimator: RuntimeEstimator
): ReservationPlan | undefined {
  const count = Math.max(MIN_CANDIDATES, CANDIDATES_PER_TASK * item.taskCount)
  const listed = pool.isExecutorPool ? pool.targets.slice(0, count) : pool.workers.listMostFree(count)
  const candidates = listed.filter((state) => state.reservation === undefined && state.isAccepting() &&
    !item.excludedTargets.includes(state.id) && countFits(demand, state.capacity) > 0)
  return planOnTargets(candidates, demand, item.taskCount, estimator)
}
