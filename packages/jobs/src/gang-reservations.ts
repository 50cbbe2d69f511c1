import type { JobStep, Resources } from './job.js'
import type { TargetView } from './target-view.js'
import { addResources, hasCapacity, subtractResources } from './capacity-tracker.js'

/** Room on one target for some tasks of a gang. */
export interface ReservedCapacity {
  readonly taskCount: number
  readonly size: Resources
}

/** The room that waiting gangs keep, by step and target. */
export type ReservationsByStep = ReadonlyMap<string, ReadonlyMap<string, ReservedCapacity>>

export const NO_RESERVATIONS: ReservationsByStep = new Map()

/** Gangs that keep room for themselves in one round. */
const MAXIMUM_RESERVING_GANGS = 4
/** A slot on a target that was held in the last round is preferred to one that comes free this much sooner. */
const PREVIOUS_TARGET_ADVANTAGE_MS = 1_000
/** How much longer than estimated a task is taken to last that may use held room meanwhile. */
const DURATION_SAFETY_FACTOR = 1.5

const NO_RESOURCES: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }

interface Reservation { readonly size: Resources, readonly fromMs: number }

interface Slot { readonly targetId: string, readonly atMs: number, readonly rank: number }

/**
 * The room that gangs keep in one round until they fit. A gang keeps to the targets that it held in the round before:
 * estimates are rough, and room that came free on a target would be gone if the next round chose others.
 */
export class GangReservations {
  readonly #nowMs: number
  readonly #previous: ReservationsByStep
  readonly #reservations = new Map<string, Reservation[]>()
  #gangCount = 0
  readonly #reservedBySteps = new Map<string, ReadonlyMap<string, ReservedCapacity>>()
  /** Room by target that steps held in the last round whose turn in this one is still to come. */
  readonly #previousPending = new Map<string, Resources>()
  readonly #begunSteps = new Set<string>()

  constructor (nowMs: number, earlier: ReservationsByStep) {
    this.#nowMs = nowMs
    this.#previous = earlier
    for (const rooms of earlier.values()) {
      for (const [targetId, { size }] of rooms) this.#previousPending.set(targetId, addResources(this.#previousPending.get(targetId) ?? NO_RESOURCES, size))
    }
  }

  /** Whether one more gang may hold room. */
  isBelowLimit (): boolean {
    return this.#gangCount < MAXIMUM_RESERVING_GANGS
  }

  /** The step's turn has come: from now on only what it holds in this round counts. */
  beginStep (stepName: string): void {
    // A step is placed twice where its tickets are tried first.
    if (this.#begunSteps.has(stepName)) return
    this.#begunSteps.add(stepName)
    for (const [targetId, { size }] of this.#previous.get(stepName) ?? []) {
      this.#previousPending.set(targetId, subtractResources(this.#previousPending.get(targetId) ?? NO_RESOURCES, size))
    }
  }

  /** Whether a task would take room that a gang whose turn comes later has held in the last round. */
  isReservedInPreviousRound (targetId: string, free: Resources, size: Resources): boolean {
    const expected = this.#previousPending.get(targetId)
    return expected !== undefined && !isZero(expected) && !hasCapacity(subtractResources(free, expected), size)
  }

  /**
   * Whether a task of this length would take room that a gang waits for. Room that is expected to come free by then doesn't
   * count, since many tasks take longer than estimated.
   */
  isReserved (targetId: string, free: Resources, size: Resources, durationMs: number): boolean {
    const holds = this.#reservations.get(targetId)
    if (holds === undefined) return false
    const endMs = this.#nowMs + durationMs * DURATION_SAFETY_FACTOR
    return holds.some((hold) => endMs > hold.fromMs && !hasCapacity(subtractResources(free, hold.size), size))
  }

  /** Keeps the room in which the gang will fit first. */
  reserveEarliest (
    stepName: string, step: JobStep, taskCount: number, candidates: readonly TargetView[], readFree: (id: string) => Resources
  ): void {
    const earlier = this.#previous.get(stepName)
    const slots = candidates.flatMap((target) => {
      return this.#listSlots(target, step, readFree(target.id), earlier?.get(target.id)?.taskCount ?? 0)
    })
    const needed = slots.sort((left, right) => left.rank - right.rank).slice(0, taskCount)
    if (needed.length < taskCount) return
    this.#gangCount++
    const fromMs = Math.max(...needed.map(({ atMs }) => atMs))
    const rooms = this.recordReservation(stepName, step, needed.map(({ targetId }) => targetId))
    for (const [targetId, { size }] of rooms) this.#reservations.set(targetId, [...this.#reservations.get(targetId) ?? [], { size, fromMs }])
  }

  /** Notes a target for each task of a gang, for the next round. */
  recordReservation (stepName: string, step: JobStep, targetIds: readonly string[]): ReadonlyMap<string, ReservedCapacity> {
    const rooms = new Map<string, ReservedCapacity>()
    for (const targetId of targetIds) {
      const { taskCount, size } = rooms.get(targetId) ?? { taskCount: 0, size: NO_RESOURCES }
      rooms.set(targetId, { taskCount: taskCount + 1, size: addResources(size, step.size) })
    }
    this.#reservedBySteps.set(stepName, rooms)
    return rooms
  }

  /** What is held in this round, for the next one. */
  list (): ReservationsByStep {
    return this.#reservedBySteps
  }

  /** Times at which one more task of the step fits on the target. */
  #listSlots (target: TargetView, step: JobStep, targetFree: Resources, keptCount: number): Slot[] {
    const slots: Slot[] = []
    let free = (this.#reservations.get(target.id) ?? []).reduce((left, hold) => subtractResources(left, hold.size), targetFree)
    let atMs = this.#nowMs
    // A target on which another gang is about to hold room comes later.
    const otherMs = isZero(this.#previousPending.get(target.id) ?? NO_RESOURCES) ? 0 : PREVIOUS_TARGET_ADVANTAGE_MS
    const runs = [...target.runs].sort((left, right) => left.expectedEndMs - right.expectedEndMs)
    const limit = step.maximumPerTarget > 0 ? step.maximumPerTarget : Number.POSITIVE_INFINITY
    for (let next = 0; slots.length < limit;) {
      if (hasCapacity(free, step.size)) {
        slots.push({ targetId: target.id, atMs, rank: slots.length < keptCount ? atMs - PREVIOUS_TARGET_ADVANTAGE_MS : atMs + otherMs })
        free = subtractResources(free, step.size)
        continue
      }
      const run = runs[next++]
      if (run === undefined) break
      free = addResources(free, run.size)
      atMs = Math.max(this.#nowMs, run.expectedEndMs)
    }
    return slots
  }
}

function isZero ({ cpuMillis, memoryMb, accelerators }: Resources): boolean {
  return cpuMillis === 0 && memoryMb === 0 && accelerators === 0
}
