import type { AdviceCache } from './advice-cache.js'
import { DemandLimiter } from './demand-limiter.js'
import type { ReadyStep } from './job-table.js'
import type { AdvicePolicy } from './job.js'
import { RoomChecker } from './room-checker.js'
import type { TargetInventory } from './target-inventory.js'
import type { TargetView } from './target-view.js'
import { TurnRotation } from './turn-rotation.js'
import { compareUrgency, computeUrgency, type Urgency } from './urgency.js'
import { countByTarget, listPlaceable, readStepName } from './waiting-tasks.js'

/** Steps that a round considers in turn beyond the limit on waiting work. */
const TURNS_PER_ROUND = 10

/** A step that a round considers. */
export interface SelectedStep {
  readonly ready: ReadyStep
  readonly urgency: Urgency
  /** Active targets of the step's service, the usable ones first. */
  readonly activeIds: readonly string[]
  /** Whether a gang that doesn't fit may reserve capacity. */
  readonly mayReserve: boolean
}

/** The targets of a round. */
export interface RoundTargets {
  readonly nowMs: number
  readonly usable: readonly TargetView[]
  /** Ids of the active targets of each service, the usable ones first. */
  readonly activeIds: ReadonlyMap<string, readonly string[]>
}

/** What the policy service has answered, and whether it has time for a request that can be left out. */
export interface AdviceState {
  readonly cache: AdviceCache
  hasSpareTime (policy: AdvicePolicy): boolean
}

/**
 * Selects the steps that a placement round considers, the most urgent first. Work that the usable targets couldn't hold even if
 * they ran only what lasts is passed over and doesn't count as demand. Of the work beyond the limit on demand, each round
 * considers a few steps in turn, so that nothing waits for good behind work that isn't served for another reason.
 */
export class StepSelector {
  readonly #advice: AdviceState
  readonly #inventory: TargetInventory
  readonly #turns = new TurnRotation(TURNS_PER_ROUND)

  constructor (advice: AdviceState, inventory: TargetInventory) {
    this.#advice = advice
    this.#inventory = inventory
  }

  * select (ready: Iterable<ReadyStep>, targets: RoundTargets): Generator<SelectedStep> {
    const limiter = new DemandLimiter(targets.usable)
    const checker = new RoomChecker(targets.usable)
    const leftOut: SelectedStep[] = []
    for (const selected of sortByUrgency(ready, targets)) {
      const { step, progress: { job: { terms: { service } } } } = selected.ready
      if (limiter.isLimitReached(service)) {
        leftOut.push({ ...selected, mayReserve: false })
        continue
      }
      const placeable = this.#countPlaceable(checker, selected, targets.nowMs)
      if (placeable === 0) continue
      limiter.add(service, placeable * step.step.size.cpuMillis)
      yield selected
    }
    for (const selected of this.#turns.choose(leftOut)) {
      const { advice } = selected.ready.progress.job.terms
      if (advice !== undefined && !this.#advice.hasSpareTime(advice)) continue
      if (this.#countPlaceable(checker, selected, targets.nowMs) > 0) yield selected
    }
  }

  /** Returns how many tasks of a step could be placed now if the usable targets ran only what lasts. */
  #countPlaceable (checker: RoomChecker, { ready: { progress, step }, activeIds }: SelectedStep, nowMs: number): number {
    if (nowMs < step.notBeforeMs) return 0
    const { service, advice } = progress.job.terms
    const limits = {
      countByTarget: countByTarget(step),
      permittedIds: advice === undefined ? undefined : this.#listFinallyPermitted(readStepName(step), step.step.requiredLabel, activeIds)
    }
    return checker.countPlaceable(service, step.step, listPlaceable(progress, step).length, limits)
  }

  /** Returns the permitted targets once the policy service has answered for all that the step could use; otherwise undefined. */
  #listFinallyPermitted (stepName: string, label: string | undefined, activeIds: readonly string[]): ReadonlySet<string> | undefined {
    const { cache } = this.#advice
    if (!cache.hasAnswer(stepName)) return undefined
    const hasBeenAsked = (id: string): boolean => cache.hasBeenAsked(stepName, id) || !this.#inventory.hasLabel(id, label)
    return activeIds.every(hasBeenAsked) ? new Set(cache.listPermitted(stepName)) : undefined
  }
}

function sortByUrgency (ready: Iterable<ReadyStep>, { nowMs, activeIds }: RoundTargets): SelectedStep[] {
  return [...ready].filter(({ step }) => step.countPending() > 0).map((entry): SelectedStep => ({
    ready: entry,
    urgency: computeUrgency(entry.progress, nowMs),
    activeIds: activeIds.get(entry.progress.job.terms.service) ?? [],
    mayReserve: true
  })).sort((left, right) => compareUrgency(left.urgency, right.urgency))
}
