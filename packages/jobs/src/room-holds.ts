import type { JobStep, TaskSize } from './job.js'
import type { TargetView } from './target-view.js'
import { addSizes, hasRoom, subtractSizes } from './task-room.js'

/** Room on one target for some tasks of a gang. */
export interface HeldRoom {
  readonly taskCount: number
  readonly size: TaskSize
}

/** The room that waiting gangs keep, by step and target. */
export type HeldRooms = ReadonlyMap<string, ReadonlyMap<string, HeldRoom>>

export const NOTHING_HELD: HeldRooms = new Map()

/** Gangs that keep room for themselves in one round. */
const MAXIMUM_HELD_GANGS = 4
/** A slot on a target that was held in the last round is preferred to one that comes free this much sooner. */
const KEPT_TARGET_MS = 1_000
/** How much longer than estimated a task is taken to last that may use held room meanwhile. */
const LONGEST_ESTIMATE_FACTOR = 1.5

const NO_ROOM: TaskSize = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }

interface Hold { readonly size: TaskSize, readonly fromMs: number }

interface Slot { readonly targetId: string, readonly atMs: number, readonly rank: number }

/**
 * The room that gangs keep in one round until they fit. A gang keeps to the targets that it held in the round before:
 * estimates are rough, and room that came free on a target would be gone if the next round chose others.
 */
export class RoomHolds {
  readonly #nowMs: number
  readonly #earlier: HeldRooms
  readonly #holds = new Map<string, Hold[]>()
  #gangCount = 0
  readonly #heldRooms = new Map<string, ReadonlyMap<string, HeldRoom>>()
  /** Room by target that steps held in the last round whose turn in this one is still to come. */
  readonly #expected = new Map<string, TaskSize>()
  readonly #begun = new Set<string>()

  constructor (nowMs: number, earlier: HeldRooms) {
    this.#nowMs = nowMs
    this.#earlier = earlier
    for (const rooms of earlier.values()) {
      for (const [targetId, { size }] of rooms) this.#expected.set(targetId, addSizes(this.#expected.get(targetId) ?? NO_ROOM, size))
    }
  }

  /** Whether one more gang may hold room. */
  hasPlace (): boolean {
    return this.#gangCount < MAXIMUM_HELD_GANGS
  }

  /** The step's turn has come: from now on only what it holds in this round counts. */
  beginStep (stepName: string): void {
    // A step is placed twice where its tickets are tried first.
    if (this.#begun.has(stepName)) return
    this.#begun.add(stepName)
    for (const [targetId, { size }] of this.#earlier.get(stepName) ?? []) {
      this.#expected.set(targetId, subtractSizes(this.#expected.get(targetId) ?? NO_ROOM, size))
    }
  }

  /** Whether a task would take room that a gang whose turn comes later has held in the last round. */
  isExpected (targetId: string, free: TaskSize, size: TaskSize): boolean {
    const expected = this.#expected.get(targetId)
    return expected !== undefined && !isNoRoom(expected) && !hasRoom(subtractSizes(free, expected), size)
  }

  /**
   * Whether a task of this length would take room that a gang waits for. Room that is expected to come free by then doesn't
   * count, since many tasks take longer than estimated.
   */
  isHeldAgainst (targetId: string, free: TaskSize, size: TaskSize, durationMs: number): boolean {
    const holds = this.#holds.get(targetId)
    if (holds === undefined) return false
    const endMs = this.#nowMs + durationMs * LONGEST_ESTIMATE_FACTOR
    return holds.some((hold) => endMs > hold.fromMs && !hasRoom(subtractSizes(free, hold.size), size))
  }

  /** Keeps the room in which the gang will fit first. */
  hold (
    stepName: string, step: JobStep, taskCount: number, candidates: readonly TargetView[], readFree: (id: string) => TaskSize
  ): void {
    const earlier = this.#earlier.get(stepName)
    const slots = candidates.flatMap((target) => {
      return this.#listSlots(target, step, readFree(target.id), earlier?.get(target.id)?.taskCount ?? 0)
    })
    const needed = slots.sort((left, right) => left.rank - right.rank).slice(0, taskCount)
    if (needed.length < taskCount) return
    this.#gangCount++
    const fromMs = Math.max(...needed.map(({ atMs }) => atMs))
    const rooms = this.keep(stepName, step, needed.map(({ targetId }) => targetId))
    for (const [targetId, { size }] of rooms) this.#holds.set(targetId, [...this.#holds.get(targetId) ?? [], { size, fromMs }])
  }

  /** Notes a target for each task of a gang, for the next round. */
  keep (stepName: string, step: JobStep, targetIds: readonly string[]): ReadonlyMap<string, HeldRoom> {
    const rooms = new Map<string, HeldRoom>()
    for (const targetId of targetIds) {
      const { taskCount, size } = rooms.get(targetId) ?? { taskCount: 0, size: NO_ROOM }
      rooms.set(targetId, { taskCount: taskCount + 1, size: addSizes(size, step.size) })
    }
    this.#heldRooms.set(stepName, rooms)
    return rooms
  }

  /** What is held in this round, for the next one. */
  list (): HeldRooms {
    return this.#heldRooms
  }

  /** Times at which one more task of the step fits on the target. */
  #listSlots (target: TargetView, step: JobStep, targetFree: TaskSize, keptCount: number): Slot[] {
    const slots: Slot[] = []
    let free = (this.#holds.get(target.id) ?? []).reduce((left, hold) => subtractSizes(left, hold.size), targetFree)
    let atMs = this.#nowMs
    // A target on which another gang is about to hold room comes later.
    const otherMs = isNoRoom(this.#expected.get(target.id) ?? NO_ROOM) ? 0 : KEPT_TARGET_MS
    const runs = [...target.runs].sort((left, right) => left.expectedEndMs - right.expectedEndMs)
    const limit = step.maximumPerTarget > 0 ? step.maximumPerTarget : Number.POSITIVE_INFINITY
    for (let next = 0; slots.length < limit;) {
      if (hasRoom(free, step.size)) {
        slots.push({ targetId: target.id, atMs, rank: slots.length < keptCount ? atMs - KEPT_TARGET_MS : atMs + otherMs })
        free = subtractSizes(free, step.size)
        continue
      }
      const run = runs[next++]
      if (run === undefined) break
      free = addSizes(free, run.size)
      atMs = Math.max(this.#nowMs, run.expectedEndMs)
    }
    return slots
  }
}

function isNoRoom ({ cpuMillis, memoryMb, accelerators }: TaskSize): boolean {
  return cpuMillis === 0 && memoryMb === 0 && accelerators === 0
}
