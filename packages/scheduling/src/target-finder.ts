import type { ResourceVector } from './resource-vector.js'
import type { PoolState } from './pool-state.js'
import type { QueuedItem } from './queued-item.js'
import { RESERVATION_CAUSES } from './target-reservation.js'
import type { TargetState } from './target-state.js'

/** A request for a target for one task. */
export interface PlacementQuery {
  readonly queued: QueuedItem
  readonly demand: ResourceVector
  /** When the task is expected to end, which decides whether it may backfill a reserved target; Infinity when unknown. */
  readonly endsAtMs: number
  /** Number of running services of the same kind by rack; undefined when the item is not a service. */
  readonly servicesByRack: ReadonlyMap<string, number> | undefined
  /** Whether no target without a reservation is known to have enough free capacity, so that they need no search. */
  readonly isUnreservedKnownToFail: boolean
}

/** A query with the values derived from it. */
interface PlacementSearch extends PlacementQuery {
  readonly pool: PoolState
  readonly isExcluded: (state: TargetState) => boolean
  /** Lower is better. */
  readonly score: (state: TargetState) => number
}

const excludeNone = (): boolean => false

const SCARCEST_DIMENSION_WEIGHT = 1
const OTHER_DIMENSION_WEIGHT = 0.25

/**
 * Returns a function that scores a worker by the capacity that would stay free after placing the task, weighted towards the
 * dimension most in use in the pool. The lowest score is the tightest fit.
 */
export function buildScoreFunction (pool: PoolState, demand: ResourceVector): (state: TargetState) => number {
  const { occupied, capacity, maxTargetCapacity: largest } = pool
  const coreShare = occupied.cores / Math.max(capacity.cores, 1)
  const memoryShare = occupied.memoryMb / Math.max(capacity.memoryMb, 1)
  const acceleratorShare = occupied.accelerators / Math.max(capacity.accelerators, 1)
  const scarcest = Math.max(coreShare, memoryShare, acceleratorShare)
  const weigh = (share: number): number => share >= scarcest ? SCARCEST_DIMENSION_WEIGHT : OTHER_DIMENSION_WEIGHT
  const coreScale = weigh(coreShare) / Math.max(largest.cores, 1)
  const memoryScale = weigh(memoryShare) / Math.max(largest.memoryMb, 1)
  const acceleratorScale = weigh(acceleratorShare) / Math.max(largest.accelerators, 1)
  return (state) => (state.freeCores - demand.cores) * coreScale + (state.freeMemoryMb - demand.memoryMb) * memoryScale +
    (state.freeAccelerators - demand.accelerators) * acceleratorScale
}

/** Whether the task may use a target in spite of a reservation on it, as its holder or by backfill. */
function isAllowedByReservation (search: PlacementSearch, state: TargetState): boolean {
  const { reservation } = state
  if (reservation === undefined || reservation.holder === search.queued || search.endsAtMs <= reservation.startAtMs) return true
  // Urgent work doesn't wait for the reservation of a less urgent blocked head, unless the head's class is under its floor.
  const { urgency } = reservation.holder.item
  return reservation.cause === RESERVATION_CAUSES.blockedHead && search.queued.item.urgency === 'urgent' && urgency !== 'urgent' &&
    !search.pool.isUnderFloor(urgency)
}

function findReserved (search: PlacementSearch): TargetState | undefined {
  const { pool } = search
  let best: TargetState | undefined
  let bestScore = Infinity
  for (const state of pool.reservedTargets) {
    const isUsable = state.isAccepting() && !search.isExcluded(state) && pool.isFittingNow(state, search.demand)
    if (!isUsable || !isAllowedByReservation(search, state)) continue
    const score = search.score(state)
    if (score >= bestScore) continue
    best = state
    bestScore = score
  }
  return best
}

// Covers enough racks for a good spread without visiting every worker of a large pool.
const MAX_SPREAD_CANDIDATES = 64
const RANK_PER_SERVICE = 1_000
const ACCELERATOR_WASTE_RANK = 100

/**
 * Finds a worker for a service in the rack with the fewest services of the same kind; among those, workers without free
 * accelerators that the service doesn't need go first, then the lowest score.
 */
function findSpreadOverRacks (search: PlacementSearch): TargetState | undefined {
  // The index finds quickly that no worker fits, which saves visiting the pool's targets.
  if (search.pool.workers.findBest(search.demand, search.isExcluded, () => 0) === undefined) return undefined
  let best: TargetState | undefined
  let bestRank = Infinity
  let candidates = 0
  for (const state of search.pool.targets) {
    if (state.reservation !== undefined || !state.isAccepting() || !state.isFittingNow(search.demand) || search.isExcluded(state)) continue
    const services = search.servicesByRack?.get(state.target.rack) ?? 0
    const wastesAccelerators = search.demand.accelerators === 0 && state.freeAccelerators > 0
    const rank = services * RANK_PER_SERVICE + (wastesAccelerators ? ACCELERATOR_WASTE_RANK : 0) + search.score(state)
    if (rank < bestRank) {
      best = state
      bestRank = rank
    }
    if (services === 0 && !wastesAccelerators && ++candidates >= MAX_SPREAD_CANDIDATES) break
  }
  return best
}

function findUnreserved (search: PlacementSearch): TargetState | undefined {
  const { pool } = search
  if (pool.isExecutorPool) return pool.executors.findLeastLoaded(search.isExcluded)
  return search.queued.item.isService ? findSpreadOverRacks(search) : pool.workers.findBest(search.demand, search.isExcluded, search.score)
}

/** Finds the target for one task. Returns undefined when no allowed target has enough free capacity. */
export function findTarget (pool: PoolState, query: PlacementQuery): TargetState | undefined {
  const { excludedTargets, requestId } = query.queued.item
  const search: PlacementSearch = {
    queued: query.queued,
    demand: query.demand,
    endsAtMs: query.endsAtMs,
    servicesByRack: query.servicesByRack,
    isUnreservedKnownToFail: query.isUnreservedKnownToFail,
    pool,
    isExcluded: excludedTargets.length === 0 ? excludeNone : (state) => excludedTargets.includes(state.id),
    score: pool.isExecutorPool ? (state) => -pool.computeFreeSlots(state) : buildScoreFunction(pool, query.demand)
  }
  const isHolder = pool.reservations.has(requestId)
  // The holder of a reservation fills its own targets first and leaves unreserved ones to other items.
  const reserved = isHolder ? findReserved(search) : undefined
  if (reserved !== undefined) return reserved
  const unreserved = query.isUnreservedKnownToFail ? undefined : findUnreserved(search)
  return unreserved ?? (isHolder ? undefined : findReserved(search))
}
