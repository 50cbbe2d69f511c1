import type { QuotaGate } from './accounts/quota-gate.js'
import type { AdviceCache } from './advice-cache.js'
import { DemandLimiter } from './demand-limiter.js'
import type { JobProgress } from './job-progress.js'
import type { ReadyStep } from './job-table.js'
import type { AdvicePolicy } from './job.js'
import { RoomChecker } from './room-checker.js'
import type { TargetInventory } from './target-inventory.js'
import type { TargetView } from './target-view.js'
import { TurnRotation } from './turn-rotation.js'
import { WorkMeter } from './turns/work-meter.js'
import { compareUrgency, computeUrgency, URGENCY_BANDS, type OverloadDecision, type Urgency } from './urgency.js'
import { countByTarget, countPlaceable, readStepName } from './waiting-tasks.js'

/** Steps that a round considers in turn beyond the limit on waiting work. */
const TURNS_PER_ROUND = 10
/** Share of a service's processor capacity that is free while the work within the limit can't fill its targets. */
const IDLE_SHARE = 0.5

/**
 * Steps of which a round looks for targets. A backlog of steps that demand next to nothing, or that no target could hold, would
 * otherwise be walked in each round.
 */
const CONSIDERED_STEPS_PER_ROUND = 5_000

/** A step that a round considers. */
export interface SelectedStep {
  readonly ready: ReadyStep
  readonly urgency: Urgency
  /** Active targets of the step's service, the usable ones first. */
  readonly activeIds: readonly string[]
  /** Number of pending tasks that the job's limit on runs leaves room for. */
  readonly pendingCount: number
  /** Number of those that the account's quota leaves room for. */
  readonly startableCount: number
  /** Whether a gang that doesn't fit may reserve capacity. */
  readonly mayReserve: boolean
}

/** A number of a step's tasks that may be placed. */
type Candidate = Pick<SelectedStep, 'ready' | 'activeIds' | 'startableCount'>

/** The targets of a round. */
export interface RoundTargets {
  readonly nowMs: number
  readonly usable: readonly TargetView[]
  /** Ids of the active targets of each service, the usable ones first. */
  readonly activeIds: ReadonlyMap<string, readonly string[]>
  /** Decisions of overload control. */
  readonly decisions: ReadonlyMap<JobProgress, OverloadDecision>
}

/** What the policy service has answered, and whether it has time for a request that can be left out. */
export interface AdviceState {
  readonly cache: AdviceCache
  hasSpareTime (policy: AdvicePolicy): boolean
}

/**
 * Selects the steps that a placement round considers, the most urgent first. Work that the usable targets couldn't hold even if
 * they ran only what lasts is passed over and doesn't count as demand. While a service's targets are half empty, a round also
 * considers a few steps beyond the limit on demand, in turn, so that nothing waits for good behind work that isn't served for
 * another reason. In a full pool they would take the capacity that more urgent gangs wait for. A step counts only with the tasks that
 * its account's quota leaves room for, and is left out if there are none.
 */
export class StepSelector {
  readonly #advice: AdviceState
  readonly #inventory: TargetInventory
  readonly #quota: QuotaGate
  readonly #turns = new TurnRotation(TURNS_PER_ROUND)
  readonly #work: WorkMeter

  /** `work` counts the steps that are visited. */
  constructor (advice: AdviceState, inventory: TargetInventory, quota: QuotaGate, work = new WorkMeter()) {
    this.#advice = advice
    this.#inventory = inventory
    this.#quota = quota
    this.#work = work
  }

  * select (ready: Iterable<ReadyStep>, targets: RoundTargets): Generator<SelectedStep> {
    const limiter = new DemandLimiter(targets.usable)
    const checker = new RoomChecker(targets.usable, this.#work)
    const idleServices = listIdleServices(targets.usable)
    const leftOut: SelectedStep[] = []
    let consideredCount = 0
    const canPlace = (candidate: Candidate): boolean => this.#countPlaceable(checker, candidate, targets.nowMs) > 0
    for (const waiting of listByUrgency(ready, { targets, quota: this.#quota, canPlace, work: this.#work })) {
      const { step, progress: { job: { account, terms: { service } } } } = waiting.ready
      const isBeyondLimit = consideredCount >= CONSIDERED_STEPS_PER_ROUND || limiter.isLimitReached(service) ||
        this.#quota.isDemandLimitReached(account, service)
      if (isBeyondLimit) {
        if (idleServices.has(service)) leftOut.push({ ...waiting, mayReserve: false })
        continue
      }
      consideredCount++
      const selected = this.#updateStartable(waiting, canPlace)
      const placeable = this.#countPlaceable(checker, selected, targets.nowMs)
      if (placeable === 0) continue
      limiter.add(service, placeable * step.step.size.cpuMillis)
      this.#quota.addDemand(account, service, step.step, placeable)
      yield selected
    }
    for (const chosen of this.#turns.choose(leftOut)) {
      const { advice } = chosen.ready.progress.job.terms
      if (advice !== undefined && !this.#advice.hasSpareTime(advice)) continue
      const selected = this.#updateStartable(chosen, canPlace)
      if (canPlace(selected)) yield selected
    }
  }

  /** Reads the quota again, which runs placed in this round have used since the steps were listed. */
  #updateStartable (selected: SelectedStep, canPlace: (candidate: Candidate) => boolean): SelectedStep {
    const { ready, pendingCount } = selected
    const startableCount = this.#quota.countStartable(ready, pendingCount, () => canPlace({ ...selected, startableCount: pendingCount }))
    return startableCount === selected.startableCount ? selected : { ...selected, startableCount }
  }

  /** Returns how many tasks of a step could be placed now if the usable targets ran only what lasts. */
  #countPlaceable (checker: RoomChecker, { ready: { progress, step }, activeIds, startableCount }: Candidate, nowMs: number): number {
    if (nowMs < step.notBeforeMs || startableCount === 0) return 0
    const { service, advice } = progress.job.terms
    const limits = {
      countByTarget: countByTarget(step),
      permittedIds: advice === undefined ? undefined : this.#listFinallyPermitted(readStepName(step), step.step.requiredLabel, activeIds)
    }
    return checker.countPlaceable(service, step.step, startableCount, limits)
  }

  /** Returns the permitted targets once the policy service has answered for all that the step could use; otherwise undefined. */
  #listFinallyPermitted (stepName: string, label: string | undefined, activeIds: readonly string[]): ReadonlySet<string> | undefined {
    const { cache } = this.#advice
    if (!cache.hasAnswer(stepName)) return undefined
    const hasBeenAsked = (id: string): boolean => cache.hasBeenAsked(stepName, id) || !this.#inventory.hasLabel(id, label)
    return activeIds.every(hasBeenAsked) ? new Set(cache.listPermitted(stepName)) : undefined
  }
}

/** Lists the services whose targets have most of their processor capacity free. */
function listIdleServices (targets: readonly TargetView[]): ReadonlySet<string> {
  const excess = new Map<string, number>()
  for (const { service, free, capacity } of targets) {
    excess.set(service, (excess.get(service) ?? 0) + free.cpuMillis - capacity.cpuMillis * IDLE_SHARE)
  }
  return new Set([...excess].filter(([, millis]) => millis > 0).map(([service]) => service))
}

/** What decides which ready steps a round may consider. */
interface UrgencyContext {
  readonly targets: RoundTargets
  readonly quota: QuotaGate
  readonly canPlace: (candidate: Candidate) => boolean
  readonly work: WorkMeter
}

/** The ready steps of a job that have startable tasks. All of them are as urgent as the job. */
interface UrgentJob {
  readonly urgency: Urgency
  readonly activeIds: readonly string[]
  readonly steps: Pick<SelectedStep, 'ready' | 'pendingCount' | 'startableCount'>[]
}

/** Lists the ready steps with startable tasks, those of the most urgent job first. */
function * listByUrgency (ready: Iterable<ReadyStep>, context: UrgencyContext): Generator<SelectedStep> {
  const jobs = groupByJob(ready, context).sort((left, right) => compareUrgency(left.urgency, right.urgency))
  for (const { urgency, activeIds, steps } of jobs) {
    // Capacity that a delayed gang reserves would be kept from the jobs for which it is delayed.
    const mayReserve = urgency.band !== URGENCY_BANDS.delayed
    for (const step of steps) yield { ...step, urgency, activeIds, mayReserve }
  }
}

function groupByJob (ready: Iterable<ReadyStep>, { targets, quota, canPlace, work }: UrgencyContext): UrgentJob[] {
  const { nowMs, decisions, activeIds: idsByService } = targets
  const jobs = new Map<JobProgress, UrgentJob>()
  for (const entry of ready) {
    work.add(1)
    const { progress, step } = entry
    const pendingCount = countPlaceable(progress, step)
    if (pendingCount === 0) continue
    const activeIds = idsByService.get(progress.job.terms.service) ?? []
    const startableCount = quota.countStartable(entry, pendingCount, () => {
      return canPlace({ ready: entry, activeIds, startableCount: pendingCount })
    })
    if (startableCount === 0) continue
    let job = jobs.get(progress)
    if (job === undefined) {
      job = { urgency: computeUrgency(progress, nowMs, decisions.get(progress)), activeIds, steps: [] }
      jobs.set(progress, job)
    }
    job.steps.push({ ready: entry, pendingCount, startableCount })
  }
  return [...jobs.values()]
}
