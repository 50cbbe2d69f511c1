import type { AdvicePolicy, JobStep, Resources } from './job.js'
import { countSlots } from './capacity-tracker.js'

/** Targets that one question to the policy service may name. */
export const MAXIMUM_TARGETS_PER_REQUEST = 100
/** A step may ask about at least so many targets. */
const MINIMUM_TARGETS_PER_REQUEST = 10
/** Asked about targets with room for this multiple of a step's tasks, since other steps want the same room meanwhile. */
const CAPACITY_FACTOR = 2
/** Naming more targets may lengthen the answer by this share. */
const EXTRA_DURATION_SHARE = 0.3

/** A target that the policy may be asked about. */
export interface AdviceCandidate {
  readonly id: string
  readonly capacity: Resources
  readonly rack: string | undefined
  /** Tasks of the step that would fit on it now. */
  readonly freeSlots: number
}

/**
 * Chooses the targets that a question names: those with most room now, as many as are likely to hold the step. Naming all of
 * a large pool takes seconds, and naming the same part of it for every step leaves the rest idle. Targets with equal room take
 * turns, by `turn`.
 */
export function selectAdviceTargets (
  candidates: readonly AdviceCandidate[], step: JobStep, taskCount: number, policy: AdvicePolicy, permittedShare: number, turn: number
): string[] {
  const slots = Math.max(1, ...candidates.map(({ capacity }) => countSlots(capacity, step)))
  const needed = Math.ceil(CAPACITY_FACTOR * taskCount / (permittedShare * slots))
  const cheap = policy.perTargetMs > 0 ? Math.floor(policy.decisionMs * EXTRA_DURATION_SHARE / policy.perTargetMs) : MAXIMUM_TARGETS_PER_REQUEST
  const count = Math.min(MAXIMUM_TARGETS_PER_REQUEST, Math.max(MINIMUM_TARGETS_PER_REQUEST, needed, cheap))
  const first = candidates.length === 0 ? 0 : turn * count % candidates.length
  return rankCandidates([...candidates.slice(first), ...candidates.slice(0, first)], step).slice(0, count).map(({ id }) => id)
}

/** Orders targets by their use to the step: near its data, in a rack with much room for a gang that prefers one, with room. */
function rankCandidates (candidates: readonly AdviceCandidate[], step: JobStep): AdviceCandidate[] {
  const racks = step.prefersOneRack ? rankRacks(candidates) : undefined
  const readRank = ({ rack }: AdviceCandidate): number => racks?.get(rack) ?? 0
  const isNear = ({ rack }: AdviceCandidate): number => step.dataRack !== undefined && rack === step.dataRack ? 1 : 0
  return [...candidates].sort((left, right) =>
    isNear(right) - isNear(left) || readRank(left) - readRank(right) || right.freeSlots - left.freeSlots)
}

/** Position of each rack, those with most room first. */
function rankRacks (candidates: readonly AdviceCandidate[]): Map<string | undefined, number> {
  const slots = new Map<string | undefined, number>()
  for (const { rack, freeSlots } of candidates) slots.set(rack, (slots.get(rack) ?? 0) + freeSlots)
  const racks = [...slots].sort(([, left], [, right]) => right - left)
  return new Map(racks.map(([rack], position) => [rack, position]))
}
