import type { ResourceVector } from './resource-vector.js'
import type { PoolState } from './pool-state.js'
import type { QueuedItem } from './queued-item.js'
import { RESERVATION_CAUSES } from './target-reservation.js'
import type { TargetState } from './target-state.js'

/** One task to place. */
export interface PlacementQuery {
  readonly entry: QueuedItem
  readonly demand: ResourceVector
  /** When the task is expected to end, for backfill; Infinity when unknown. */
  readonly endsAtMs: number
  /** Services of the same kind that already run in each rack; undefined for other work. */
  readonly servicesByRack: ReadonlyMap<string, number> | undefined
  /** Whether targets without a reservation are known not to hold the task. */
  readonly isUnreservedKnownToFail: boolean
}

/** A query with what follows from it. */
interface PlacementSearch extends PlacementQuery {
  readonly pool: PoolState
  readonly isExcluded: (state: TargetState) => boolean
  /** Lower is better. */
  readonly score: (state: TargetState) => number
}

const excludeNone = (): boolean => false

const SCARCEST_DIMENSION_WEIGHT = 1
const OTHER_DIMENSION_WEIGHT = 0.25

/** Makes the score of a worker: the capacity that stays free, weighted towards the pool's scarcest dimension. */
export function buildScoreFunction (pool: PoolState, needed: ResourceVector): (state: TargetState) => number {
  const { occupied, capacity, maxTargetCapacity: largest } = pool
  const coreShare = occupied.cores / Math.max(capacity.cores, 1)
  const memoryShare = occupied.memoryMb / Math.max(capacity.memoryMb, 1)
  const acceleratorShare = occupied.accelerators / Math.max(capacity.accelerators, 1)
  const scarcest = Math.max(coreShare, memoryShare, acceleratorShare)
  const weigh = (share: number): number => share >= scarcest ? SCARCEST_DIMENSION_WEIGHT : OTHER_DIMENSION_WEIGHT
  const coreScale = weigh(coreShare) / Math.max(largest.cores, 1)
  const memoryScale = weigh(memoryShare) / Math.max(largest.memoryMb, 1)
  const acceleratorScale = weigh(acceleratorShare) / Math.max(largest.accelerators, 1)
  return (state) => (state.freeCores - needed.cores) * coreScale + (state.freeMemoryMb - needed.memoryMb) * memoryScale +
    (state.freeAccelerators - needed.accelerators) * acceleratorScale
}

/** Whether the reservation on a target lets this work use it. */
function isAllowedByReservation (search: PlacementSearch, state: TargetState): boolean {
  const { reservation } = state
  if (reservation === undefined || reservation.holder === search.entry || search.endsAtMs <= reservation.startAtMs) return true
  // Urgent work doesn't wait for a less urgent reservation, unless that class is owed its floor.
  const { urgency } = reservation.holder.item
  return reservation.cause === RESERVATION_CAUSES.blockedHead && search.entry.item.urgency === 'urgent' && urgency !== 'urgent' &&
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

// Enough racks for a good choice without visiting every worker of a large pool.
const MAX_SPREAD_CANDIDATES = 64
const RANK_PER_SERVICE = 1_000
const ACCELERATOR_WASTE_RANK = 100

/** A worker in the rack with the fewest services of the same kind, then by score. */
function findSpreadOverRacks (search: PlacementSearch): TargetState | undefined {
  // The index tells at once when none fits, which saves the walk.
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
  return search.entry.item.isService ? findSpreadOverRacks(search) : pool.workers.findBest(search.demand, search.isExcluded, search.score)
}

/** Finds the target for one task, or undefined when none fits now. */
export function findTarget (pool: PoolState, query: PlacementQuery): TargetState | undefined {
  const { excludedTargets, requestId } = query.entry.item
  const search: PlacementSearch = {
    entry: query.entry,
    demand: query.demand,
    endsAtMs: query.endsAtMs,
    servicesByRack: query.servicesByRack,
    isUnreservedKnownToFail: query.isUnreservedKnownToFail,
    pool,
    isExcluded: excludedTargets.length === 0 ? excludeNone : (state) => excludedTargets.includes(state.id),
    score: pool.isExecutorPool ? (state) => -pool.computeFreeSlots(state) : buildScoreFunction(pool, query.demand)
  }
  const isHolder = pool.reservations.has(requestId)
  // A holder fills its own targets first, so that it leaves open ones to others.
  const reserved = isHolder ? findReserved(search) : undefined
  if (reserved !== undefined) return reserved
  const open = query.isUnreservedKnownToFail ? undefined : findUnreserved(search)
  return open ?? (isHolder ? undefined : findReserved(search))
}
