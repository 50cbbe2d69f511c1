import type { LoadDirectory } from '@hibiscusledge/peer/load-directory.js'
import type { OwnershipDirectory } from '@hibiscusledge/peer/ownership-directory.js'
import type { UnitId } from '@hibiscusledge/runtime/identifiers.js'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import type { TargetKind } from '@hibiscusledge/scheduling/target.js'
import type { Urgency } from '@hibiscusledge/scheduling/urgency.js'

interface Candidate {
  readonly unit: UnitId
  readonly estimatedWaitMs: number
  readonly freeShare: number
  readonly queued: number
}

/**
 * Ranks the shards that can serve a pool by the power of two random choices: the better of two random shards comes next, and
 * the other one stays in the draw. Load reports are up to one heartbeat old, so always choosing the best shard would send
 * the requests of all instances to the same shard.
 */
export class ShardChooser {
  readonly #ownership: OwnershipDirectory
  readonly #loads: LoadDirectory
  readonly #random: RandomSource

  constructor (ownership: OwnershipDirectory, loads: LoadDirectory, random: RandomSource) {
    this.#ownership = ownership
    this.#loads = loads
    this.#random = random
  }

  rankShards (pool: string, targetKind: TargetKind, urgency: Urgency): UnitId[] {
    const candidates = this.#listCandidates(pool, targetKind, urgency)
    const ranked: Candidate[] = []
    while (candidates.length > 0) {
      const first = this.#drawCandidate(candidates)
      const second = candidates.length > 0 ? this.#drawCandidate(candidates) : undefined
      if (second === undefined) {
        ranked.push(first)
        break
      }
      const [better, worse] = isBetter(second, first) ? [second, first] : [first, second]
      ranked.push(better)
      candidates.push(worse)
    }
    return ranked.map((candidate) => candidate.unit)
  }

  #drawCandidate (candidates: Candidate[]): Candidate {
    const [candidate] = candidates.splice(this.#random.drawInteger(candidates.length), 1)
    return candidate as Candidate
  }

  #listCandidates (pool: string, targetKind: TargetKind, urgency: Urgency): Candidate[] {
    const candidates: Candidate[] = []
    for (const unit of this.#ownership.listUnits()) {
      if (!unit.startsWith(`${targetKind}/`) || this.#ownership.findOwner(unit) === undefined) continue
      const load = this.#loads.findLoad(unit)
      const poolLoad = load?.pools.find((entry) => entry.pool === pool)
      // A shard without a load report may serve the pool, but shards with a report are preferred.
      if (load === undefined) candidates.push({ unit, estimatedWaitMs: Number.MAX_SAFE_INTEGER, freeShare: 0, queued: 0 })
      else if (poolLoad !== undefined && poolLoad.targetCount > 0) {
        candidates.push({
          unit,
          estimatedWaitMs: poolLoad.estimatedWaitMs[urgency],
          freeShare: poolLoad.freeShare,
          queued: poolLoad.queued[urgency]
        })
      }
    }
    return candidates
  }
}

function isBetter (left: Candidate, right: Candidate): boolean {
  if (left.estimatedWaitMs !== right.estimatedWaitMs) return left.estimatedWaitMs < right.estimatedWaitMs
  if (left.freeShare !== right.freeShare) return left.freeShare > right.freeShare
  return left.queued < right.queued
}
