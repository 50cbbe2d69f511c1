import type { AccountUsage } from './accounts/account-usage.js'
import type { Resources } from './job.js'
import { CapacityTracker } from './capacity-tracker.js'
import { formatRunKey, RUN_PHASES, type TaskRun } from './task-run.js'

/**
 * The runs that a session tracks on its target, and the capacity that they reserve there. Each tracked run counts as usage of its
 * account, whether it reserves capacity or not.
 */
export class SessionRuns {
  readonly capacity: CapacityTracker
  readonly #runs = new Map<string, TaskRun>()
  /** Runs without reserved capacity that a later incarnation of the target may still start. */
  readonly #delayed = new Map<string, TaskRun>()
  /** Runs that were counted as over without the target's word, oldest first. */
  readonly #givenUp = new Map<string, TaskRun>()
  readonly #maximumGivenUp: number
  readonly #accountUsage: AccountUsage

  constructor (capacity: Resources, maximumGivenUp: number, accountUsage: AccountUsage) {
    this.#maximumGivenUp = maximumGivenUp
    this.#accountUsage = accountUsage
    this.capacity = new CapacityTracker(capacity)
  }

  add (run: TaskRun): void {
    this.#accountUsage.add(run.charge)
    this.#reserve(run)
  }

  /** Returns whether the run was tracked. */
  remove (run: TaskRun): boolean {
    if (!this.has(run)) return false
    const key = formatRunKey(run)
    if (!this.#delayed.delete(key) && this.#runs.delete(key)) this.capacity.release(run.size)
    this.#accountUsage.remove(run.charge)
    return true
  }

  /** Releases the capacity of a run that only a later incarnation of the target may still start. */
  suspend (run: TaskRun): void {
    if (!this.#runs.delete(formatRunKey(run))) return
    run.phase = RUN_PHASES.delayed
    this.#delayed.set(formatRunKey(run), run)
    this.capacity.release(run.size)
  }

  /** Reserves capacity again for a delayed run that a later incarnation of the target has started. */
  resume (run: TaskRun): void {
    if (this.#delayed.delete(formatRunKey(run))) this.#reserve(run)
  }

  /** Remembers a run that was removed without the target's word, in case the target reports its end later. */
  rememberGivenUp (run: TaskRun): void {
    this.#givenUp.set(formatRunKey(run), run)
    if (this.#givenUp.size <= this.#maximumGivenUp) return
    const [oldest] = this.#givenUp.keys()
    if (oldest !== undefined) this.#givenUp.delete(oldest)
  }

  /** Returns a run that was given up, and forgets it. */
  takeGivenUp (key: string): TaskRun | undefined {
    const run = this.#givenUp.get(key)
    this.#givenUp.delete(key)
    return run
  }

  /** Returns a run that was given up and not forgotten since. */
  findGivenUp (key: string): TaskRun | undefined {
    return this.#givenUp.get(key)
  }

  has (run: TaskRun): boolean {
    return this.find(formatRunKey(run)) === run
  }

  find (key: string): TaskRun | undefined {
    return this.#runs.get(key) ?? this.#delayed.get(key)
  }

  count (): number {
    return this.#runs.size + this.#delayed.size
  }

  /** Whether a start order of this owner is unanswered in this phase, so that a run may be there that no report shows. */
  hasUnansweredStart (phase: typeof RUN_PHASES.sent | typeof RUN_PHASES.unsettled): boolean {
    for (const run of this.#runs.values()) if (run.phase === phase && Number.isFinite(run.sentAtMs)) return true
    return false
  }

  /** Lists the runs that reserve capacity. */
  list (): Iterable<TaskRun> {
    return this.#runs.values()
  }

  /** Returns a copy of all runs, so that they can be removed during an iteration. */
  copy (): readonly TaskRun[] {
    return [...this.#runs.values(), ...this.#delayed.values()]
  }

  #reserve (run: TaskRun): void {
    this.#runs.set(formatRunKey(run), run)
    this.capacity.reserve(run.size)
  }
}
