/** A step doesn't use a target again for this long after it failed there. Faults that fail all tasks of a target last about 6.5 s. */
const PAUSE_MS = 2_200
/** While other targets are expected to hold the step, it doesn't use a target again for this long after it failed there. */
const MAXIMUM_AVOIDANCE_MS = 8_000
const NONE: ReadonlySet<string> = new Set()

/** The targets on which tasks of a step have failed. */
export class FailedTargets {
  readonly #lastFailureMs = new Map<string, number>()

  /** Records a failure. One during a pause doesn't lengthen it, since other tasks of the step may fail again and again. */
  record (targetId: string, nowMs: number): void {
    const lastMs = this.#lastFailureMs.get(targetId)
    if (lastMs === undefined || nowMs - lastMs >= PAUSE_MS) this.#lastFailureMs.set(targetId, nowMs)
  }

  /** Whether a task of the step has ever failed on the target. */
  has (targetId: string): boolean {
    return this.#lastFailureMs.has(targetId)
  }

  /**
   * Lists the targets that the step must not use now. `hasAlternative` tells whether other targets than those passed to it are
   * expected to hold the step. Even then the exclusion is limited, since others may take their capacity again and again.
   */
  listExcluded (nowMs: number, hasAlternative: (excluded: ReadonlySet<string>) => boolean): ReadonlySet<string> {
    const avoided = this.#listSince(nowMs - MAXIMUM_AVOIDANCE_MS)
    if (avoided.size === 0) return NONE
    return hasAlternative(avoided) ? avoided : this.#listSince(nowMs - PAUSE_MS)
  }

  #listSince (fromMs: number): ReadonlySet<string> {
    if (this.#lastFailureMs.size === 0) return NONE
    return new Set([...this.#lastFailureMs].filter(([, atMs]) => atMs > fromMs).map(([id]) => id))
  }
}
