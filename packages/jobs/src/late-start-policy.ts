import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { TaskRun } from './task-run.js'

/** Restarts count for this long. */
const RESTART_MEMORY_MS = 60_000
/** Number of restarts, of one target or of several, that are no spell yet. */
const ISOLATED_RESTARTS = 1
/** Restarts per target from which each target is expected to restart soon. */
const SPELL_RESTARTS_PER_TARGET = 0.1

/** What the policy depends on. */
export interface LateStartSurroundings {
  readonly clock: Clock
  /** Longest time after sending at which an order without an answer may still be carried out. */
  readonly lateOrderMs: number
  countTargets (): number
  /** Whether the run's task may wait that long. */
  isDelayable (run: TaskRun): boolean
}

interface Restart { readonly targetId: string, readonly atMs: number }

/**
 * Decides whether a task waits because a start order of it got no answer. A later incarnation of the target would carry the order out
 * if it arrives before any other order, so the task could run twice. Waiting excludes that, and delays the task by the lifetime of the
 * order. So tasks wait only in a spell of restarts, in which their target is likely to restart within that time.
 */
export class LateStartPolicy {
  readonly #surroundings: LateStartSurroundings
  /** Recent restarts, oldest first. */
  #restarts: Restart[] = []

  constructor (surroundings: LateStartSurroundings) {
    this.#surroundings = surroundings
  }

  /** Records that a target has started again under its id. */
  recordRestart (targetId: string): void {
    this.#forgetOld()
    this.#restarts.push({ targetId, atMs: this.#surroundings.clock.readMonotonicMs() })
  }

  shouldAwait (run: TaskRun): boolean {
    const { clock, lateOrderMs, isDelayable } = this.#surroundings
    return clock.readMonotonicMs() < run.sentAtMs + lateOrderMs && this.#isInSpell(run.targetId) && isDelayable(run)
  }

  #isInSpell (targetId: string): boolean {
    this.#forgetOld()
    if (this.#restarts.length <= ISOLATED_RESTARTS) return false
    if (this.#restarts.length >= this.#surroundings.countTargets() * SPELL_RESTARTS_PER_TARGET) return true
    return this.#restarts.filter((restart) => restart.targetId === targetId).length > ISOLATED_RESTARTS
  }

  #forgetOld (): void {
    const sinceMs = this.#surroundings.clock.readMonotonicMs() - RESTART_MEMORY_MS
    while ((this.#restarts[0]?.atMs ?? Infinity) <= sinceMs) this.#restarts.shift()
  }
}
