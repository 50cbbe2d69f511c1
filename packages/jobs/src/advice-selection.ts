import type { AdvicePolicy, JobStep, Resources } from './job.js'
import { countSlots } from './capacity-tracker.js'

/** Targets that one request to the policy service may name. */
export const MAXIMUM_TARGETS_PER_REQUEST = 100
/** Number of targets that a request names at least, where there are as many. */
const MINIMUM_TARGETS_PER_REQUEST = 10
/** A request names targets with capacity for this multiple of the step's tasks, since other steps compete for them meanwhile. */
const CAPACITY_FACTOR = 2
/** Additional targets are named as long as they lengthen the policy service's answer by at most this share. */
const EXTRA_DURATION_SHARE = 0.3

/** A target on which advice may be requested. */
export interface AdviceCandidate {
  readonly id: string
  readonly capacity: Resources
  readonly rack: string | undefined
  /** Number of tasks of the step that would fit on it now. */
  readonly freeSlots: number
}

/**
 * Selects the targets that a request names: those with the most free capacity, as many as are likely to hold the step. Naming
 * all targets of a large pool takes the policy service seconds, and naming the same part of it for every step leaves the rest
 * idle. `turn` rotates the order of targets with equal free capacity.
 */
export function selectAdviceTargets (
  candidates: readonly AdviceCandidate[], step: JobStep, taskCount: number, policy: AdvicePolicy, permittedShare: number, turn: number
): string[] {
  const slots = Math.max(1, ...candidates.map(({ capacity }) => countSlots(capacity, step)))
  const needed = Math.ceil(CAPACITY_FACTOR * taskCount / (permittedShare * slots))
  const affordable = policy.perTargetMs > 0
    ? Math.floor(policy.decisionMs * EXTRA_DURATION_SHARE / policy.perTargetMs)
    : MAXIMUM_TARGETS_PER_REQUEST
  const count = Math.min(MAXIMUM_TARGETS_PER_REQUEST, Math.max(MINIMUM_TARGETS_PER_REQUEST, needed, affordable))
  const first = candidates.length === 0 ? 0 : turn * count % candidates.length
  return rankCandidates([...candidates.slice(first), ...candidates.slice(0, first)], step).slice(0, count).map(({ id }) => id)
}

/** Orders targets: first those in the rack of the step's data, then by free capacity of the rack if one is preferred, then by their own. */
function rankCandidates (candidates: readonly AdviceCandidate[], step: JobStep): AdviceCandidate[] {
  const racks = step.prefersOneRack ? rankRacks(candidates) : undefined
  const readRank = ({ rack }: AdviceCandidate): number => racks?.get(rack) ?? 0
  const isLocal = ({ rack }: AdviceCandidate): number => step.dataRack !== undefined && rack === step.dataRack ? 1 : 0
  return [...candidates].sort((left, right) =>
    isLocal(right) - isLocal(left) || readRank(left) - readRank(right) || right.freeSlots - left.freeSlots)
}

/** Returns the rank of each rack, with 0 for the one with the most free slots. */
function rankRacks (candidates: readonly AdviceCandidate[]): Map<string | undefined, number> {
  const slots = new Map<string | undefined, number>()
  for (const { rack, freeSlots } of candidates) slots.set(rack, (slots.get(rack) ?? 0) + freeSlots)
  const racks = [...slots].sort(([, left], [, right]) => right - left)
  return new Map(racks.map(([rack], position) => [rack, position]))
}
