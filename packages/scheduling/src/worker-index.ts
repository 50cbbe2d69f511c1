import type { ResourceVector } from './resource-vector.js'
import type { TargetState } from './target-state.js'

/** Where the index holds a worker. */
interface IndexPosition {
  readonly tier: Tier
  readonly bucket: Bucket
  readonly memoryMb: number
}

interface Bucket {
  /** Ordered by free memory, then ordinal. */
  readonly entries: Entry[]
}

interface Entry {
  readonly memoryMb: number
  readonly state: TargetState
}

interface Tier {
  readonly buckets: Array<Bucket | undefined>
  count: number
}

/** The last tier holds all workers with at least 16 free accelerators. */
const MAX_ACCELERATOR_TIER = 17
const CORE_LEVELS_PER_CORE = 4
/** The last level holds all workers with at least 127.75 free cores. */
const MAX_CORE_LEVEL = 511

/** Returns the position of the first entry at or after (memoryMb, ordinal), by binary search. */
function findPosition (entries: readonly Entry[], memoryMb: number, ordinal: number): number {
  let low = 0
  let high = entries.length
  while (low < high) {
    const middle = (low + high) >> 1
    const entry = entries[middle] as Entry
    if (entry.memoryMb < memoryMb || (entry.memoryMb === memoryMb && entry.state.ordinal < ordinal)) low = middle + 1
    else high = middle
  }
  return low
}

function computeCoreLevel (cores: number): number {
  return Math.min(MAX_CORE_LEVEL, Math.floor(cores * CORE_LEVELS_PER_CORE))
}

/**
 * Index of workers by free capacity: tiers by free accelerators, within a tier buckets by level of free cores, and within a
 * bucket an order by free memory. A search takes one binary search for each level in use, whatever the number of workers.
 */
export class WorkerIndex {
  /** Tier 0 holds workers without accelerators; tier n + 1 those with n free ones. */
  readonly #tiers: Tier[] = Array.from({ length: MAX_ACCELERATOR_TIER + 1 }, () => ({ buckets: [], count: 0 }))
  readonly #positions = new Map<TargetState, IndexPosition>()

  get size (): number { return this.#positions.size }

  /** Updates the entry of a worker to its free capacity; a worker that is not usable or is over-committed has none. */
  update (state: TargetState, isUsable: boolean): void {
    this.remove(state)
    if (!isUsable || state.freeCores < 0 || state.freeMemoryMb < 0 || state.freeAccelerators < 0) return
    const tier = this.#tiers[this.#computeTier(state)] as Tier
    const level = computeCoreLevel(state.freeCores)
    let bucket = tier.buckets[level]
    if (bucket === undefined) {
      bucket = { entries: [] }
      while (tier.buckets.length <= level) tier.buckets.push(undefined)
      tier.buckets[level] = bucket
    }
    const memoryMb = state.freeMemoryMb
    bucket.entries.splice(findPosition(bucket.entries, memoryMb, state.ordinal), 0, { memoryMb, state })
    tier.count++
    this.#positions.set(state, { tier, bucket, memoryMb })
  }

  remove (state: TargetState): void {
    const place = this.#positions.get(state)
    if (place === undefined) return
    this.#positions.delete(state)
    place.bucket.entries.splice(findPosition(place.bucket.entries, place.memoryMb, state.ordinal), 1)
    place.tier.count--
  }

  /**
   * Returns the worker with the lowest score in the lowest tier that has a fitting one, comparing the fitting worker with the
   * least free memory of each core level. So tasks that need no accelerators go to workers without accelerators first, then
   * to those with the fewest free.
   */
  findBest (
    demand: ResourceVector, isExcluded: (state: TargetState) => boolean, score: (state: TargetState) => number
  ): TargetState | undefined {
    const firstTier = demand.accelerators > 0 ? Math.min(MAX_ACCELERATOR_TIER, Math.floor(demand.accelerators) + 1) : 0
    const firstLevel = computeCoreLevel(demand.cores)
    for (let tierIndex = firstTier; tierIndex <= MAX_ACCELERATOR_TIER; tierIndex++) {
      const tier = this.#tiers[tierIndex] as Tier
      if (tier.count === 0) continue
      let best: TargetState | undefined
      let bestScore = Infinity
      for (let level = firstLevel; level < tier.buckets.length; level++) {
        const entries = tier.buckets[level]?.entries
        if (entries === undefined || entries.length === 0) continue
        for (let position = findPosition(entries, demand.memoryMb, -1); position < entries.length; position++) {
          const { state } = entries[position] as Entry
          if (!state.isFittingNow(demand) || isExcluded(state)) continue
          const stateScore = score(state)
          if (stateScore < bestScore || (stateScore === bestScore && best !== undefined && state.ordinal < best.ordinal)) {
            best = state
            bestScore = stateScore
          }
          break
        }
      }
      if (best !== undefined) return best
    }
    return undefined
  }

  /** Lists at most `count` workers, those with the most free cores first. */
  listMostFree (count: number): TargetState[] {
    const states: TargetState[] = []
    for (let level = MAX_CORE_LEVEL; level >= 0 && states.length < count; level--) {
      for (const tier of this.#tiers) {
        for (const entry of tier.buckets[level]?.entries ?? []) {
          states.push(entry.state)
          if (states.length >= count) return states
        }
      }
    }
    return states
  }

  #computeTier (state: TargetState): number {
    if (state.capacity.accelerators === 0) return 0
    return Math.min(MAX_ACCELERATOR_TIER, Math.floor(state.freeAccelerators) + 1)
  }
}
