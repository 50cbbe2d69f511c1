import type { ClassPolicy } from './pool-policy.js'
import { URGENCIES, type Urgency } from './urgency.js'

/** A class with work that can be tried. */
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

/** Backlogged classes under their floor go first, the largest deficit before others; then strict order of urgency. */
export function chooseClass (candidates: readonly ClassCandidate[]): ClassChoice | undefined {
  let strict: ClassCandidate | undefined
  let deficient: ClassCandidate | undefined
  let largestDeficit = 0
  for (const candidate of candidates) {
    const { limitPercent } = candidate.policy
    if (limitPercent < 100 && candidate.share >= limitPercent / 100) continue
    const deficit = candidate.policy.floorPercent / 100 - candidate.share
    if (deficit > largestDeficit) {
      deficient = candidate
      largestDeficit = deficit
    }
    if (strict === undefined || URGENCIES.indexOf(candidate.urgency) < URGENCIES.indexOf(strict.urgency)) strict = candidate
  }
  if (deficient !== undefined) return { urgency: deficient.urgency, isUnderFloor: true }
  return strict === undefined ? undefined : { urgency: strict.urgency, isUnderFloor: false }
}
