import type { ClassPolicy } from './pool-policy.js'
import { URGENCIES, type Urgency } from './urgency.js'

/** An urgency class with queued items that the pass may still try. */
export interface ClassCandidate {
  readonly urgency: Urgency
  /** Share of the pool's capacity in use by the class, 0 to 1. */
  readonly share: number
  readonly policy: ClassPolicy
}

export interface ClassChoice {
  readonly urgency: Urgency
  readonly isUnderFloor: boolean
}

/**
 * Chooses the urgency class to serve next: the one with the largest deficit under its floor, otherwise the most urgent one. A class
 * at its limit is not chosen; a limit of 100 % counts as none. Returns undefined when no class can be served.
 */
export function chooseClass (candidates: readonly ClassCandidate[]): ClassChoice | undefined {
  let mostUrgent: ClassCandidate | undefined
  let mostUnderFloor: ClassCandidate | undefined
  let largestDeficit = 0
  for (const candidate of candidates) {
    const { limitPercent } = candidate.policy
    if (limitPercent < 100 && candidate.share >= limitPercent / 100) continue
    const deficit = candidate.policy.floorPercent / 100 - candidate.share
    if (deficit > largestDeficit) {
      mostUnderFloor = candidate
      largestDeficit = deficit
    }
    if (mostUrgent === undefined || URGENCIES.indexOf(candidate.urgency) < URGENCIES.indexOf(mostUrgent.urgency)) mostUrgent = candidate
  }
  if (mostUnderFloor !== undefined) return { urgency: mostUnderFloor.urgency, isUnderFloor: true }
  return mostUrgent === undefined ? undefined : { urgency: mostUrgent.urgency, isUnderFloor: false }
}
