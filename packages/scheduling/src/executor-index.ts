import type { TargetState } from './target-state.js'

const LOAD_LEVELS = 32

/** Index of executors by load. Executors of the same load level are used in rotation. */
export class ExecutorIndex {
  readonly #levels: Array<Set<TargetState>> = Array.from({ length: LOAD_LEVELS + 1 }, () => new Set<TargetState>())
  readonly #levelByTarget = new Map<TargetState, number>()

  /** Updates the entry of an executor. `freeSlots` is the number of slots that the pool may still use. */
  update (state: TargetState, isUsable: boolean, freeSlots: number, totalSlots: number): void {
    this.remove(state)
    if (!isUsable || freeSlots <= 0 || totalSlots <= 0) return
    const level = Math.max(0, Math.min(LOAD_LEVELS, Math.floor(LOAD_LEVELS * (1 - freeSlots / totalSlots))))
    this.#levels[level]?.add(state)
    this.#levelByTarget.set(state, level)
  }

  remove (state: TargetState): void {
    const level = this.#levelByTarget.get(state)
    if (level === undefined) return
    this.#levels[level]?.delete(state)
    this.#levelByTarget.delete(state)
  }

  findLeastLoaded (isExcluded: (state: TargetState) => boolean): TargetState | undefined {
    for (const level of this.#levels) {
      for (const state of level) if (!isExcluded(state)) return state
    }
    return undefined
  }
}
