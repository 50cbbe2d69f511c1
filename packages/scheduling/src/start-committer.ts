import type { ResourceVector } from './resource-vector.js'
import type { StartDecision } from './decision.js'
import type { PoolState } from './pool-state.js'
import type { QueuedItem } from './queued-item.js'
import type { SchedulerContext } from './scheduler-context.js'
import type { TargetState } from './target-state.js'

/** The targets on which an item starts. The capacity is already charged to them. */
export interface Placement {
  readonly targets: readonly TargetState[]
  readonly demand: ResourceVector
  readonly isProbe: boolean
}

/** Moves an item from the queue to the running requests, drops its reservation and returns the decision to start it. */
export function commitStart (
  context: SchedulerContext, pool: PoolState, queued: QueuedItem, start: Placement, nowMs: number
): StartDecision {
  const { accounting, queue, reservations } = context
  const { item } = queued
  const { targets, demand, isProbe } = start
  pool.rates[item.urgency].recordStart(item.team)
  queue.remove(pool, queued)
  reservations.drop(pool, item.requestId)
  accounting.register(pool, item, targets, demand, isProbe, nowMs)
  return { type: 'start', item, targets: targets.map((target) => target.id), isProbe }
}
