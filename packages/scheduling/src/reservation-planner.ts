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

function collectFitEvents (state: TargetState, needed: ResourceVector, estimator: RuntimeEstimator, events: FitEvent[]): void {
  let { free } = state
  let hosts = countFits(needed, free)
  if (hosts > 0) events.push({ atMs: estimator.nowMs, state, addedFits: hosts })
  const ends = [...state.tasks].map((task) => ({ task, atMs: estimator.estimateEndOfTask(task) })).filter((end) => end.atMs < Infinity)
  ends.sort((left, right) => left.atMs - right.atMs)
  for (const end of ends) {
    free = addScaledVector(free, end.task.charged, 1)
    const more = countFits(needed, free)
    if (more > hosts) events.push({ atMs: end.atMs, state, addedFits: more - hosts })
    hosts = Math.max(hosts, more)
  }
}

function chooseTargetsWithMostFits (hostsOf: ReadonlyMap<TargetState, number>, taskCount: number): TargetState[] {
  const largestFirst = [...hostsOf].sort((left, right) => right[1] - left[1] || left[0].ordinal - right[0].ordinal)
  const targets: TargetState[] = []
  let held = 0
  for (const [state, hosts] of largestFirst) {
    if (held >= taskCount) break
    targets.push(state)
    held += hosts
  }
  return targets
}

/** The earliest time at which `taskCount` tasks fit on `candidates`, and the targets that hold them then. */
export function planOnTargets (
  candidates: readonly TargetState[], needed: ResourceVector, taskCount: number, estimator: RuntimeEstimator
): ReservationPlan | undefined {
  const events: FitEvent[] = []
  for (const state of candidates) collectFitEvents(state, needed, estimator, events)
  events.sort((left, right) => left.atMs - right.atMs || left.state.ordinal - right.state.ordinal)
  const hostsOf = new Map<TargetState, number>()
  let total = 0
  for (const event of events) {
    hostsOf.set(event.state, (hostsOf.get(event.state) ?? 0) + event.addedFits)
    total += event.addedFits
    if (total >= taskCount) return { targets: chooseTargetsWithMostFits(hostsOf, taskCount), startAtMs: event.atMs }
  }
  return undefined
}

/** Plans a reservation on targets of the pool that no other item has reserved. */
export function planReservation (pool: PoolState, item: WorkItem, needed: ResourceVector, estimator: RuntimeEstimator): ReservationPlan | undefined {
  const count = Math.max(MIN_CANDIDATES, CANDIDATES_PER_TASK * item.taskCount)
  const listed = pool.isExecutorPool ? pool.targets.slice(0, count) : pool.workers.listMostFree(count)
  const candidates = listed.filter((state) => state.reservation === undefined && state.isAccepting() &&
    !item.excludedTargets.includes(state.id) && countFits(needed, state.capacity) > 0)
  return planOnTargets(candidates, needed, item.taskCount, estimator)
}
