import { computeWaitBoundMs, isExpectedToEnd } from './targets/expected-capacity.js'
import type { JobStep, Resources } from './job.js'
import type { TargetView } from './target-view.js'
import { addResources, countFitting, computeMultiple, NO_RESOURCES, subtractResources } from './capacity-tracker.js'

/** Capacity of one target that is reserved for some tasks of a gang. */
export interface ReservedCapacity {
  readonly taskCount: number
  readonly size: Resources
}

/** Reservations of waiting gangs, by step name and target. */
export type ReservationsByStep = ReadonlyMap<string, ReadonlyMap<string, ReservedCapacity>>

export const NO_RESERVATIONS: ReservationsByStep = new Map()

/** Gangs that may make reservations in one round. */
const MAXIMUM_RESERVING_GANGS = 2
/** A slot on a target that was reserved in the previous round is preferred to one that becomes free this much sooner. */
const PREVIOUS_TARGET_ADVANTAGE_MS = 1_000
/** Factor on the estimated duration of a task that would use reserved capacity until the gang can start. */
const DURATION_SAFETY_FACTOR = 1.5

/** A task that lasts waits no longer than this for a gang that has reserved the capacity. */
const LASTING_TASK_WAIT_MS = 10_000

/** Capacity of a target for a gang that is expected to start at `fromMs`. */
interface Reservation { readonly size: Resources, readonly fromMs: number }

/** Places for tasks on one target that are expected to be free at `atMs`; a lower `rank` is preferred. */
interface Slots { readonly targetId: string, readonly atMs: number, readonly rank: number, readonly count: number }

/**
 * Reservations that gangs make in one round until they fit. A gang prefers the targets that it reserved in the previous round:
 * estimates are rough, and capacity that became free on a target would be lost if the next round chose other targets.
 */
export class GangReservations {
  readonly #nowMs: number
  readonly #previous: ReservationsByStep
  readonly #reservations = new Map<string, Reservation[]>()
  #gangCount = 0
  readonly #reservedByStep = new Map<string, ReadonlyMap<string, ReservedCapacity>>()
  /** Capacity by target that was reserved in the previous round by steps which this round hasn't considered yet. */
  readonly #previousPending = new Map<string, Resources>()
  readonly #consideredSteps = new Set<string>()

  constructor (nowMs: number, previous: ReservationsByStep) {
    this.#nowMs = nowMs
    this.#previous = previous
    for (const targets of previous.values()) {
      for (const [id, { size }] of targets) this.#previousPending.set(id, addResources(this.#previousPending.get(id) ?? NO_RESOURCES, size))
    }
  }

  /** Whether one more gang may make a reservation in this round. */
  isBelowLimit (): boolean {
    return this.#gangCount < MAXIMUM_RESERVING_GANGS
  }

  /** Discards what the step reserved in the previous round. Call it when the round considers the step. */
  beginStep (stepName: string): void {
    // A step is considered twice in a round if placement is tried first with its valid tickets only.
    if (this.#consideredSteps.has(stepName)) return
    this.#consideredSteps.add(stepName)
    for (const [targetId, { size }] of this.#previous.get(stepName) ?? []) {
      this.#previousPending.set(targetId, subtractResources(this.#previousPending.get(targetId) ?? NO_RESOURCES, size))
    }
  }

  /** Whether a task would use capacity reserved in the previous round by a gang that this round hasn't considered yet. */
  isReservedInPreviousRound (targetId: string, free: Resources, size: Resources): boolean {
    const reserved = this.#previousPending.get(targetId)
    return reserved !== undefined && !isZero(reserved) && isUsing(free, reserved, size)
  }

  /**
   * Whether a task of this duration would use capacity that a gang has reserved in this round. Capacity that is expected to
   * become free before the gang starts doesn't count, since many tasks take longer than estimated.
   */
  isReserved (targetId: string, free: Resources, size: Resources, durationMs: number): boolean {
    const reservations = this.#reservations.get(targetId)
    if (reservations === undefined) return false
    const endMs = this.#nowMs + durationMs * DURATION_SAFETY_FACTOR
    const latestFromMs = durationMs === Number.POSITIVE_INFINITY ? this.#nowMs + LASTING_TASK_WAIT_MS : Number.POSITIVE_INFINITY
    return reservations.some((reservation) => endMs > reservation.fromMs && reservation.fromMs <= latestFromMs &&
      isUsing(free, reservation.size, size))
  }

  /** Reserves the capacity in which the gang is expected to fit first, unless it never fits on the candidates. */
  reserveEarliest (
    stepName: string, step: JobStep, taskCount: number, candidates: readonly TargetView[], readFree: (id: string) => Resources
  ): void {
    const previous = this.#previous.get(stepName)
    const slots = candidates.flatMap((target) => {
      return this.#listSlots(target, step, taskCount, readFree(target.id), previous?.get(target.id)?.taskCount ?? 0)
    })
    const needed = takeSlots(slots.sort((left, right) => left.rank - right.rank), taskCount)
    if (needed === undefined) return
    this.#gangCount++
    const fromMs = Math.max(...needed.map(({ atMs }) => atMs))
    const targetIds = needed.flatMap(({ targetId, count }) => new Array<string>(count).fill(targetId))
    const reserved = this.recordReservation(stepName, step, targetIds)
    for (const [id, { size }] of reserved) this.#reservations.set(id, [...this.#reservations.get(id) ?? [], { size, fromMs }])
  }

  /** Records a target for each task of a gang, as a preference for the next round. */
  recordReservation (stepName: string, step: JobStep, targetIds: readonly string[]): ReadonlyMap<string, ReservedCapacity> {
    const reserved = new Map<string, ReservedCapacity>()
    for (const targetId of targetIds) {
      const { taskCount, size } = reserved.get(targetId) ?? { taskCount: 0, size: NO_RESOURCES }
      reserved.set(targetId, { taskCount: taskCount + 1, size: addResources(size, step.size) })
    }
    this.#reservedByStep.set(stepName, reserved)
    return reserved
  }

  /** Returns the reservations of this round, to be passed to the next one. */
  list (): ReservationsByStep {
    return this.#reservedByStep
  }

  /** Lists how many more tasks of the step fit on the target now and after each run that ends, up to the number of its tasks. */
  #listSlots (target: TargetView, step: JobStep, taskCount: number, targetFree: Resources, previousCount: number): Slots[] {
    const slots: Slots[] = []
    const limit = step.maximumPerTarget > 0 ? Math.min(step.maximumPerTarget, taskCount) : taskCount
    let found = 0
    let free = (this.#reservations.get(target.id) ?? []).reduce((left, reserved) => subtractResources(left, reserved.size), targetFree)
    let atMs = this.#nowMs
    // A target that another gang reserved in the previous round, and is likely to reserve again, is ranked lower.
    const penaltyMs = isZero(this.#previousPending.get(target.id) ?? NO_RESOURCES) ? 0 : PREVIOUS_TARGET_ADVANTAGE_MS
    // A run that lasts, or is far overdue, is not expected to give its capacity back.
    const boundMs = computeWaitBoundMs(step)
    const runs = target.runs.filter((run) => isExpectedToEnd(run, boundMs)).sort((left, right) => left.expectedEndMs - right.expectedEndMs)
    addFitting()
    for (const run of runs) {
      if (found >= limit) break
      free = addResources(free, run.size)
      atMs = Math.max(this.#nowMs, run.expectedEndMs)
      addFitting()
    }
    return slots

    function addFitting (): void {
      const count = Math.min(limit - found, countFitting(free, step.size))
      if (count <= 0) return
      const preferredCount = Math.min(count, Math.max(0, previousCount - found))
      addSlots(preferredCount, atMs - PREVIOUS_TARGET_ADVANTAGE_MS)
      addSlots(count - preferredCount, atMs + penaltyMs)
      free = subtractResources(free, computeMultiple(step.size, count))
      found += count
    }

    function addSlots (count: number, rank: number): void {
      if (count > 0) slots.push({ targetId: target.id, atMs, rank, count })
    }
  }
}

/** Takes the first slots, as many as there are tasks; undefined when there are fewer. */
function takeSlots (slots: readonly Slots[], taskCount: number): Slots[] | undefined {
  const taken: Slots[] = []
  let left = taskCount
  for (const group of slots) {
    if (left === 0) break
    const count = Math.min(left, group.count)
    taken.push({ ...group, count })
    left -= count
  }
  return left === 0 ? taken : undefined
}

/** Whether a task would use reserved capacity. One that requests nothing of a resource uses none of it, however much is reserved. */
function isUsing (free: Resources, reserved: Resources, size: Resources): boolean {
  const left = subtractResources(free, reserved)
  return (size.cpuMillis > 0 && left.cpuMillis < size.cpuMillis) ||
    (size.memoryMb > 0 && left.memoryMb < size.memoryMb) ||
    (size.accelerators > 0 && left.accelerators < size.accelerators)
}

function isZero ({ cpuMillis, memoryMb, accelerators }: Resources): boolean {
  return cpuMillis === 0 && memoryMb === 0 && accelerators === 0
}
