import { ExpectedCapacity } from './targets/expected-capacity.js'
import { MAXIMUM_RUNS_PER_JOB, type JobStep, type Resources } from './job.js'
import { type ReservationsByStep, NO_RESERVATIONS, GangReservations } from './gang-reservations.js'
import { addResources, computeReservedResources, countFitting, countSlots, hasCapacity, mergeMaximum, NO_RESOURCES, subtractResources } from './capacity-tracker.js'
import type { TargetView } from './target-view.js'
import { computeSpeedScore, listSteadyTargets } from './targets/speed-preference.js'
import { WorkMeter } from './turns/work-meter.js'

/** A step with tasks to be placed. */
export interface WaitingStep {
  readonly stepName: string
  readonly service: string
  readonly step: JobStep
  /** Indexes of the pending tasks. */
  readonly pending: readonly number[]
  /** Targets on which tasks of the step have failed. They are ranked lower. */
  readonly avoided: Pick<ReadonlySet<string>, 'has'>
  /** Targets that are not used as long as there are others. */
  readonly excluded: ReadonlySet<string>
  /** Number of the step's tasks that are already on each target, if the step limits it. */
  readonly countByTarget: ReadonlyMap<string, number>
  /** Targets that the placement policy permits; undefined without a policy. */
  readonly permittedIds: readonly string[] | undefined
  /** Whether the step can wait rather than use capacity that a less urgent gang reserved in the previous round. */
  readonly canWait: boolean
  /** How much later the step could start and still meet its objective; negative for a late one. */
  readonly slackMs: number
  /** Whether a gang that doesn't fit reserves the capacity in which it is expected to fit first. */
  readonly reservesCapacity: boolean
}

/** What one round may do. */
export interface RoundBudget {
  /** Counts the candidates that are looked at. */
  readonly work: WorkMeter
  /** Tasks that may be placed. A gang that exceeds it is placed as a whole. */
  readonly placements: number
}

function createUnlimitedBudget (): RoundBudget {
  return { work: new WorkMeter(), placements: Number.POSITIVE_INFINITY }
}

export interface Placement {
  readonly index: number
  readonly targetId: string
}

/** Added to the score of a target on which the step has failed, or which isn't in the rack of the data. Lower scores are better. */
const FAILED_TARGET_PENALTY = 10
const REMOTE_RACK_PENALTY = 5
/** Added to the score of a target whose capacity a less urgent gang reserved in the previous round. */
const RESERVED_PENALTY = 3
/**
 * Candidates for tasks that one round looks at. Callers choose how many tasks a job has and how little each requests, so that a round
 * without a limit could place tens of thousands, and would block lease renewals for as long.
 */
const MAXIMUM_LOOKS = 500_000
/**
 * A target with this many runs gets no more tasks that are so small that more of them would fit, since its reports list each run. The
 * largest gang fits on one target.
 */
const MAXIMUM_SMALL_RUNS = MAXIMUM_RUNS_PER_JOB
/** Starts without an answer on one target, beyond which it gets no more single tasks, so that later and more urgent ones don't wait. */
const MAXIMUM_UNCONFIRMED_ON_TARGET = 200

/**
 * One placement round over the free capacity of the targets. Call `place` for steps in order of urgency. A gang that doesn't
 * fit reserves the capacity in which it is expected to fit first; later steps may use that capacity only if they end before.
 */
export class PlacementRound {
  /** Capacity that the targets are expected to offer, as of the beginning of the round. */
  readonly expected: ExpectedCapacity
  readonly #targets: ReadonlyMap<string, TargetView>
  readonly #free = new Map<string, Resources>()
  readonly #reservations: GangReservations
  readonly #largestFree = new Map<string, Resources>()
  /** Runs on each target, with those placed in this round. */
  readonly #runCounts = new Map<string, number>()
  readonly #budget: RoundBudget
  #looks = 0
  #placedCount = 0

  /** `previous`: the reservations of the round before. */
  constructor (
    nowMs: number, targets: readonly TargetView[], previous: ReservationsByStep = NO_RESERVATIONS, budget = createUnlimitedBudget()
  ) {
    this.#budget = budget
    this.#targets = new Map(targets.map((target) => [target.id, target]))
    this.expected = new ExpectedCapacity(nowMs, this.#targets)
    this.#reservations = new GangReservations(nowMs, previous)
    for (const target of targets) {
      this.#free.set(target.id, target.free)
      this.#runCounts.set(target.id, target.runs.length)
    }
  }

  /** Whether the round has placed as many tasks or looked at as many candidates as it may. The remaining steps are left to the next one. */
  isExhausted (): boolean {
    return this.#looks >= MAXIMUM_LOOKS || this.#placedCount >= this.#budget.placements
  }

  /** Places the tasks of a step that fit: all or none of a gang. Their capacity is taken for the rest of the round. */
  place (waiting: WaitingStep): Placement[] {
    const size = computeReservedResources(waiting.step.size, waiting.step.usesIdleCapacity)
    const canReserve = waiting.reservesCapacity && waiting.step.isGang && this.#reservations.isBelowLimit()
    if (waiting.step.isGang) this.#reservations.beginStep(waiting.stepName)
    if (!canReserve && !hasCapacity(this.#readLargestFree(waiting.service), size)) return []
    const candidates = this.#listCandidates(waiting)
    if (!waiting.step.isGang) return this.#placeEach(waiting, candidates)
    const placements = this.#placeGang(waiting, candidates)
    if (placements.length === 0 && canReserve) {
      this.#reservations.reserveEarliest(waiting.stepName, waiting.step, waiting.pending.length, candidates, (id) => this.#readFree(id))
    }
    return placements
  }

  /** Reserves the capacity of a gang that fits but can't be started yet. */
  reservePlaced (stepName: string, step: JobStep, placements: readonly Placement[]): void {
    this.#reservations.recordReservation(stepName, step, placements.map(({ targetId }) => targetId))
  }

  /** Frees the capacity of placements that can't be used, for the rest of the round. */
  releasePlaced (step: JobStep, placements: readonly Placement[]): void {
    const size = computeReservedResources(step.size, step.usesIdleCapacity)
    for (const { targetId } of placements) {
      this.#free.set(targetId, addResources(this.#readFree(targetId), size))
      this.#runCounts.set(targetId, this.#countRuns(targetId) - 1)
    }
    this.#placedCount -= placements.length
    this.#largestFree.clear()
  }

  /** Returns the reservations of this round, to be passed to the next one. */
  listReservations (): ReservationsByStep {
    return this.#reservations.list()
  }

  /** Returns how many tasks of a step fit into the capacity that is free on a target in this round; 0 for an unusable target. */
  countFreeSlots (targetId: string, step: JobStep): number {
    const free = this.#free.get(targetId)
    return free === undefined ? 0 : countSlots(free, step)
  }

  #listCandidates (waiting: WaitingStep): TargetView[] {
    const { requiredLabel } = waiting.step
    this.#addLooks(waiting.permittedIds?.length ?? this.#targets.size)
    const candidates = this.#listPermitted(waiting.permittedIds).filter((target) => target.service === waiting.service &&
      (requiredLabel === undefined || target.labels.includes(requiredLabel)))
    if (waiting.excluded.size === 0) return candidates
    const others = candidates.filter((target) => !waiting.excluded.has(target.id))
    return others.length > 0 ? others : candidates
  }

  #listPermitted (permittedIds: readonly string[] | undefined): TargetView[] {
    if (permittedIds === undefined) return [...this.#targets.values()]
    return permittedIds.flatMap((id) => this.#targets.get(id) ?? [])
  }

  #placeEach (waiting: WaitingStep, candidates: readonly TargetView[]): Placement[] {
    const placements: Placement[] = []
    const counts = new Map(waiting.countByTarget)
    for (const index of waiting.pending) {
      if (this.isExhausted() && !waiting.step.isGang) break
      const target = this.#chooseTarget(waiting, candidates, counts)
      if (target === undefined) break
      this.#reserve(target.id, waiting.step)
      counts.set(target.id, (counts.get(target.id) ?? 0) + 1)
      placements.push({ index, targetId: target.id })
    }
    return placements
  }

  #placeGang (waiting: WaitingStep, candidates: readonly TargetView[]): Placement[] {
    if (waiting.step.prefersOneRack) {
      for (const rack of new Set(candidates.map((target) => target.rack))) {
        const placements = this.#placeAllOrNone(waiting, candidates.filter((target) => target.rack === rack))
        if (placements.length > 0) return placements
      }
    }
    const steady = listSteadyTargets(candidates)
    if (steady.length < candidates.length) {
      const placements = this.#placeAllOrNone(waiting, steady)
      if (placements.length > 0) return placements
    }
    return this.#placeAllOrNone(waiting, candidates)
  }

  #placeAllOrNone (waiting: WaitingStep, candidates: readonly TargetView[]): Placement[] {
    if (!this.#hasSlots(waiting, candidates)) return []
    const before = new Map(candidates.map((target) => [target.id, this.#readFree(target.id)]))
    const placements = this.#placeEach(waiting, candidates)
    if (placements.length === waiting.pending.length) return placements
    for (const [id, free] of before) this.#free.set(id, free)
    for (const { targetId } of placements) this.#runCounts.set(targetId, this.#countRuns(targetId) - 1)
    this.#placedCount -= placements.length
    this.#largestFree.clear()
    return []
  }

  /** Whether the free capacity could hold all tasks of a gang, however it is reserved. */
  #hasSlots ({ step, pending }: WaitingStep, candidates: readonly TargetView[]): boolean {
    this.#addLooks(candidates.length)
    let slots = 0
    return candidates.some(({ id }) => (slots += countSlots(this.#readFree(id), step)) >= pending.length)
  }

  #chooseTarget (
    waiting: WaitingStep, candidates: readonly TargetView[], counts: ReadonlyMap<string, number>
  ): TargetView | undefined {
    let best: TargetView | undefined
    let bestScore = Number.POSITIVE_INFINITY
    const { step } = waiting
    const size = computeReservedResources(step.size, step.usesIdleCapacity)
    const durationMs = step.isLongRunning ? Number.POSITIVE_INFINITY : step.estimatedMs
    this.#addLooks(candidates.length)
    for (const target of candidates) {
      if (step.maximumPerTarget > 0 && (counts.get(target.id) ?? 0) >= step.maximumPerTarget) continue
      const free = this.#readFree(target.id)
      if (!step.isGang && this.#countUnconfirmed(target) >= MAXIMUM_UNCONFIRMED_ON_TARGET) continue
      if (this.#countRuns(target.id) >= MAXIMUM_SMALL_RUNS && countFitting(target.capacity, size) > MAXIMUM_SMALL_RUNS) continue
      if (!hasCapacity(free, size) || this.#reservations.isReserved(target.id, free, size, durationMs)) continue
      const wasReserved = this.#reservations.isReservedInPreviousRound(target.id, free, size)
      if (wasReserved && waiting.canWait) continue
      const isRemote = step.dataRack !== undefined && step.dataRack !== target.rack
      const score = scoreFit(subtractResources(free, size), target.capacity) +
        (waiting.avoided.has(target.id) ? FAILED_TARGET_PENALTY : 0) +
        (isRemote ? REMOTE_RACK_PENALTY : 0) + (wasReserved ? RESERVED_PENALTY : 0) +
        computeSpeedScore(step, waiting.slackMs, target.relativeRunTime ?? 1)
      if (score >= bestScore) continue
      best = target
      bestScore = score
    }
    return best
  }

  #addLooks (count: number): void {
    this.#looks += count
    this.#budget.work.add(count)
  }

  /** Counts the runs on a target whose start has no answer, with those placed in this round. */
  #countUnconfirmed ({ id, runs, unconfirmedStarts = 0 }: TargetView): number {
    return unconfirmedStarts + this.#countRuns(id) - runs.length
  }

  #countRuns (targetId: string): number {
    return this.#runCounts.get(targetId) ?? 0
  }

  #readFree (targetId: string): Resources {
    return this.#free.get(targetId) ?? NO_RESOURCES
  }

  /** Returns for each resource the most that is free on any target of a service. */
  #readLargestFree (service: string): Resources {
    let largest = this.#largestFree.get(service)
    if (largest !== undefined) return largest
    largest = NO_RESOURCES
    for (const target of this.#targets.values()) {
      if (target.service === service) largest = mergeMaximum(largest, this.#readFree(target.id))
    }
    this.#largestFree.set(service, largest)
    return largest
  }

  #reserve (targetId: string, step: JobStep): void {
    this.#largestFree.clear()
    this.#placedCount++
    this.#runCounts.set(targetId, this.#countRuns(targetId) + 1)
    this.#free.set(targetId, subtractResources(this.#readFree(targetId), computeReservedResources(step.size, step.usesIdleCapacity)))
  }
}

/** Scores a target by what would be left free on it. Less is better, so that whole targets stay free for large tasks. */
function scoreFit (left: Resources, capacity: Resources): number {
  const cpuShare = capacity.cpuMillis > 0 ? left.cpuMillis / capacity.cpuMillis : 0
  const memoryShare = capacity.memoryMb > 0 ? left.memoryMb / capacity.memoryMb : 0
  return cpuShare + memoryShare
}
