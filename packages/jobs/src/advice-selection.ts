import { countSlots } from './capacity-tracker.js'
import type { AdvicePolicy, JobStep, Resources } from './job.js'

/** Targets that one request to the policy service may name. */
export const MAXIMUM_TARGETS_PER_REQUEST = 100
/** Number of targets that a request names at least, where there are as many. */
export const MINIMUM_TARGETS_PER_REQUEST = 10
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
  /** Number of tasks of the step that it is expected to hold once runs have ended. */
  readonly expectedSlots: number
}

/**
 * Selects the targets that a request names: those with the most free capacity, as many as are likely to hold the step. Naming
 * all targets of a large pool takes the policy service seconds, and naming the same part of it for every step leaves the rest
 * idle. `turn` rotates the order of targets with equal free capacity.
 */
export function selectAdviceTargets (
  candidates: readonly AdviceCandidate[], step: JobStep, taskCount: number, policy: AdvicePolicy, permittedShare: number, turn: number,
  maximum = MAXIMUM_TARGETS_PER_REQUEST
): string[] {
  const slots = estimateSlotsPerTarget(candidates, step)
  const needed = Math.ceil(CAPACITY_FACTOR * taskCount / (permittedShare * slots))
  const affordable = policy.perTargetMs > 0
    ? Math.floor(policy.decisionMs * EXTRA_DURATION_SHARE / policy.perTargetMs)
    : MAXIMUM_TARGETS_PER_REQUEST
  const count = Math.min(maximum, Math.max(MINIMUM_TARGETS_PER_REQUEST, needed, affordable))
  const first = candidates.length === 0 ? 0 : turn * count % candidates.length
  const ranked = rankCandidates([...candidates.slice(first), ...candidates.slice(0, first)], step)
  // The tasks of a gang need their capacity at the same time, so they count on what is free now.
  const wanted = step.isGang ? countTargetsWithSlots(ranked, CAPACITY_FACTOR * taskCount / permittedShare) : 0
  return ranked.slice(0, Math.min(maximum, Math.max(count, wanted))).map(({ id }) => id)
}

/** Splits the targets of a request evenly over calls. None takes over twice as long as the decision itself. */
export function splitAdviceTargets (targetIds: readonly string[], policy: AdvicePolicy): string[][] {
  const limit = policy.perTargetMs > 0 ? Math.floor(policy.decisionMs / policy.perTargetMs) : MAXIMUM_TARGETS_PER_REQUEST
  const size = Math.min(MAXIMUM_TARGETS_PER_REQUEST, Math.max(MINIMUM_TARGETS_PER_REQUEST, limit))
  const calls = Math.ceil(targetIds.length / size)
  return Array.from({ length: calls }, (_, index) => targetIds.filter((_id, position) => position % calls === index))
}

/** Returns how many tasks one target may hold: as is expected, or by its capacity while nothing can be expected of any. */
function estimateSlotsPerTarget (candidates: readonly AdviceCandidate[], step: JobStep): number {
  const expected = Math.max(0, ...candidates.map(({ expectedSlots }) => expectedSlots))
  return expected > 0 ? expected : Math.max(1, ...candidates.map(({ capacity }) => countSlots(capacity, step)))
}

/** Returns how many of the first targets have this many free slots together; all targets when they have fewer. */
function countTargetsWithSlots (ranked: readonly AdviceCandidate[], slots: number): number {
  let found = 0
  const last = ranked.findIndex(({ freeSlots }) => (found += freeSlots) >= slots)
  return last < 0 ? ranked.length : last + 1
}

/**
 * Orders targets: first those in the rack of the step's data, then by free capacity of the rack if one is preferred, then by their
 * own. Targets that are full and not expected to hold any task come last, wherever they are.
 */
function rankCandidates (candidates: readonly AdviceCandidate[], step: JobStep): AdviceCandidate[] {
  const racks = step.prefersOneRack ? rankRacks(candidates) : undefined
  const readRank = ({ rack }: AdviceCandidate): number => racks?.get(rack) ?? 0
  const isLocal = ({ rack }: AdviceCandidate): number => step.dataRack !== undefined && rack === step.dataRack ? 1 : 0
  const isPromising = ({ expectedSlots, freeSlots }: AdviceCandidate): number => expectedSlots > 0 || freeSlots > 0 ? 1 : 0
  return [...candidates].sort((left, right) =>
    isPromising(right) - isPromising(left) ||
    isLocal(right) - isLocal(left) || readRank(left) - readRank(right) || right.freeSlots - left.freeSlots)
}

/** Returns the rank of each rack, with 0 for the one with the most free slots. */
function rankRacks (candidates: readonly AdviceCandidate[]): Map<string | undefined, number> {
  const slots = new Map<string | undefined, number>()
  for (const { rack, freeSlots } of candidates) slots.set(rack, (slots.get(rack) ?? 0) + freeSlots)
  const racks = [...slots].sort(([, left], [, right]) => right - left)
  return new Map(racks.map(([rack], position) => [rack, position]))
}
