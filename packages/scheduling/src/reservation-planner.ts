import { addScaledVector, type ResourceVector, countFits } from './resource-vector.js'
import type { PoolState } from './pool-state.js'
import type { RuntimeEstimator } from './runtime-estimator.js'
import type { TargetState } from './target-state.js'
import type { WorkItem } from './work-item.js'

/** The targets on which an item's tasks are expected to fit, and when. */
export interface ReservationPlan {
  readonly targets: readonly TargetState[]
  readonly startAtMs: number
}

interface FitEvent {
  readonly atMs: number
  readonly state: TargetState
  /** How many more tasks fit on the target from then on. */
  readonly addedFits: number
}

// Bound the cost of one plan. The workers with the most free capacity are the likeliest to have enough first.
const MIN_CANDIDATES = 32
const CANDIDATES_PER_TASK = 4

/** Adds to `events` the times at which more tasks fit on a target, as its running tasks are expected to end. */
function collectFitEvents (state: TargetState, demand: ResourceVector, estimator: RuntimeEstimator, events: FitEvent[]): void {
  let { free } = state
  let fits = countFits(demand, free)
  if (fits > 0) events.push({ atMs: estimator.nowMs, state, addedFits: fits })
  const ends = [...state.tasks].map((task) => ({ task, atMs: estimator.estimateEndOfTask(task) })).filter((end) => end.atMs < Infinity)
  ends.sort((left, right) => left.atMs - right.atMs)
  for (const end of ends) {
    free = addScaledVector(free, end.task.charged, 1)
    const fitsAfterEnd = countFits(demand, free)
    if (fitsAfterEnd > fits) events.push({ atMs: end.atMs, state, addedFits: fitsAfterEnd - fits })
    fits = Math.max(fits, fitsAfterEnd)
  }
}

/** Chooses the targets with the most fits until they hold `taskCount` tasks, so that few targets are reserved. */
function chooseTargetsWithMostFits (fitsByTarget: ReadonlyMap<TargetState, number>, taskCount: number): TargetState[] {
  const mostFitsFirst = [...fitsByTarget].sort((left, right) => right[1] - left[1] || left[0].ordinal - right[0].ordinal)
  const targets: TargetState[] = []
  let totalFits = 0
  for (const [state, fits] of mostFitsFirst) {
    if (totalFits >= taskCount) break
    targets.push(state)
    totalFits += fits
  }
  return targets
}

/**
 * Plans the earliest time at which `taskCount` tasks are expected to fit on `candidates`, and the targets for them. Returns
 * undefined when they are not expected to fit, for example while services run that don't end.
 */
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

/** Plans a reservation on targets of the pool that are not reserved yet. Returns undefined when no plan is found. */
export function planReservation (
  pool: PoolState, item: WorkItem, demand: ResourceVector, estimator: RuntimeEstimator
): ReservationPlan | undefined {
  const count = Math.max(MIN_CANDIDATES, CANDIDATES_PER_TASK * item.taskCount)
  const listed = pool.isExecutorPool ? pool.targets.slice(0, count) : pool.workers.listMostFree(count)
  const candidates = listed.filter((state) => state.reservation === undefined && state.isAccepting() &&
    !item.excludedTargets.includes(state.id) && countFits(demand, state.capacity) > 0)
  return planOnTargets(candidates, demand, item.taskCount, estimator)
}
