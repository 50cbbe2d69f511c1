import type { Amounts } from './amounts.js'
import type { PoolState } from './pool-state.js'
import { RESERVATION_CAUSES } from './reservation.js'
import type { QueuedItem } from './queued-item.js'
import type { TargetState } from './target-state.js'
import { URGENCIES } from './urgency.js'

/** One task to place. */
export interface PlacementQuery {
  readonly entry: QueuedItem
  readonly needed: Amounts
  /** When the task is expected to end, for backfill; Infinity when unknown. */
  readonly endsAtMs: number
  /** Services that already run in each rack. */
  readonly servicesByRack: ReadonlyMap<string, number> | undefined
}

const SCARCE_WEIGHT = 1
const OTHER_WEIGHT = 0.25

/** Makes the score of a worker: the capacity that stays free, weighted towards the pool's scarcest dimension. Lower is better. */
export function buildScore (pool: PoolState, needed: Amounts): (state: TargetState) => number {
  const { used, capacity, largest } = pool
  const shares = [used.cores / Math.max(capacity.cores, 1), used.memoryMb / Math.max(capacity.memoryMb, 1), used.accelerators / Math.max(capacity.accelerators, 1)]
  const scarcest = Math.max(...shares)
  const [coreWeight, memoryWeight, acceleratorWeight] = shares.map((share) => share >= scarcest ? SCARCE_WEIGHT : OTHER_WEIGHT) as [number, number, number]
  const coreScale = coreWeight / Math.max(largest.cores, 1)
  const memoryScale = memoryWeight / Math.max(largest.memoryMb, 1)
  const acceleratorScale = acceleratorWeight / Math.max(largest.accelerators, 1)
  return (state) => (state.freeCores - needed.cores) * coreScale + (state.freeMemoryMb - needed.memoryMb) * memoryScale +
    (state.freeAccelerators - needed.accelerators) * acceleratorScale
}

/** Whether the reservation on a target lets this work use it. */
function isReservationOpen (pool: PoolState, state: TargetState, query: PlacementQuery): boolean {
  const { reservation } = state
  if (reservation === undefined || reservation.holder === query.entry || query.endsAtMs <= reservation.startAtMs) return true
  // Urgent work doesn't wait for a less urgent reservation, unless that class is owed its floor.
  const { urgency } = reservation.holder.item
  return reservation.cause === RESERVATION_CAUSES.blockedHead && query.entry.item.urgency === 'urgent' && urgency !== 'urgent' &&
    pool.computeClassShare(urgency) >= pool.readClassPolicy(urgency).floorPercent / 100
}

function findReserved (pool: PoolState, query: PlacementQuery, isExcluded: (state: TargetState) => boolean, score: (state: TargetState) => number): TargetState | undefined {
  let best: TargetState | undefined
  let bestScore = Infinity
  for (const state of pool.reservedTargets) {
    if (!state.isAccepting() || isExcluded(state) || !pool.isFittingNow(state, query.needed) || !isReservationOpen(pool, state, query)) continue
    const stateScore = state.reservation?.holder === query.entry ? score(state) - 1_000 : score(state)
    if (stateScore < bestScore) {
      best = state
      bestScore = stateScore
    }
  }
  return best
}

// Enough racks for a good choice without visiting every worker of a large pool.
const MAX_SPREAD_CANDIDATES = 64

/** A worker in the rack with the fewest services of the same kind, then by score. */
function findSpread (pool: PoolState, query: PlacementQuery, isExcluded: (state: TargetState) => boolean, score: (state: TargetState) => number): TargetState | undefined {
  const needsAccelerators = query.needed.accelerators > 0
  let best: TargetState | undefined
  let bestRank = Infinity
  let candidates = 0
  for (const state of pool.targets) {
    if (state.reservation !== undefined || !state.isAccepting() || !state.isFittingNow(query.needed) || isExcluded(state)) continue
    const services = query.servicesByRack?.get(state.target.rack) ?? 0
    const wastesAccelerators = !needsAccelerators && state.freeAccelerators > 0
    const rank = services * 1_000 + (wastesAccelerators ? 100 : 0) + score(state)
    if (rank < bestRank) {
      best = state
      bestRank = rank
    }
    if (services === 0 && !wastesAccelerators && ++candidates >= MAX_SPREAD_CANDIDATES) break
  }
  return best
}

/** Finds the target for one task, or undefined when none fits now. */
export function findTarget (pool: PoolState, query: PlacementQuery): TargetState | undefined {
  const { excludedTargets, isService } = query.entry.item
  const isExcluded = (state: TargetState): boolean => excludedTargets.length > 0 && excludedTargets.includes(state.id)
  const score = pool.isExecutorPool ? (state: TargetState): number => -pool.computeFreeSlots(state) : buildScore(pool, query.needed)
  const holdsReservation = pool.reservations.has(query.entry.item.requestId)
  const reserved = holdsReservation ? findReserved(pool, query, isExcluded, score) : undefined
  if (reserved !== undefined) return reserved
  let found: TargetState | undefined
  if (pool.isExecutorPool) found = pool.executors.findLeastLoaded(isExcluded)
  else if (isService) found = findSpread(pool, query, isExcluded, score)
  else found = pool.workers.findBest(query.needed, isExcluded, score)
  if (found !== undefined || holdsReservation || pool.reservedTargets.size === 0) return found
  return findReserved(pool, query, isExcluded, score)
}

/** Rank of an urgency class; 0 is the most urgent. */
export function rankUrgency (entry: QueuedItem): number {
  return URGENCIES.indexOf(entry.item.urgency)
}
