import type { ResourceVector } from './resource-vector.js'
import type { TargetState } from './target-state.js'

/** Where an index keeps a worker. */
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

const MAX_ACCELERATOR_TIER = 17
const CORE_LEVELS_PER_CORE = 4
const MAX_CORE_LEVEL = 511

/** Position of the first entry that is not before (memoryMb, ordinal). */
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
 * Workers by free capacity: tiers by free accelerators, in them levels by free cores, in those an order by free memory.
 * A search costs one binary search for each level in use, however many workers there are.
 */
export class WorkerIndex {
  /** Tier 0 holds workers without accelerators; tier n + 1 those with n free ones. */
  readonly #tiers: Tier[] = Array.from({ length: MAX_ACCELERATOR_TIER + 1 }, () => ({ buckets: [], count: 0 }))
  readonly #positions = new Map<TargetState, IndexPosition>()

  get size (): number { return this.#positions.size }

  /** Brings the index up to date with a worker's free capacity. */
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
   * The fitting worker with the lowest score. Work without accelerators takes workers without them first, then those
   * with the fewest free.
   */
  findBest (needed: ResourceVector, isExcluded: (state: TargetState) => boolean, score: (state: TargetState) => number): TargetState | undefined {
    const firstTier = needed.accelerators > 0 ? Math.min(MAX_ACCELERATOR_TIER, Math.floor(needed.accelerators) + 1) : 0
    const firstLevel = computeCoreLevel(needed.cores)
    for (let tierIndex = firstTier; tierIndex <= MAX_ACCELERATOR_TIER; tierIndex++) {
      const tier = this.#tiers[tierIndex] as Tier
      if (tier.count === 0) continue
      let best: TargetState | undefined
      let bestScore = Infinity
      for (let level = firstLevel; level < tier.buckets.length; level++) {
        const entries = tier.buckets[level]?.entries
        if (entries === undefined || entries.length === 0) continue
        for (let position = findPosition(entries, needed.memoryMb, -1); position < entries.length; position++) {
          const { state } = entries[position] as Entry
          if (!state.isFittingNow(needed) || isExcluded(state)) continue
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

  /** Workers from the most free cores downwards, at most `count`. */
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
