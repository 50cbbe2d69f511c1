import { FailedTargets } from './failures/failed-targets.js'
import { IndexSet } from './index-ranges.js'
import type { JobStep } from './job.js'
import type { TaskKey, TaskRun } from './task-run.js'

/** Identifies a step in one occurrence of its job. */
export type StepKey = Omit<TaskKey, 'index'>

/** Progress of a task that has a state of its own. Only its step changes what decides whether the task is pending. */
export interface TaskProgress {
  readonly key: TaskKey
  /** Failed runs, which count against the maximum attempts of the queue. */
  failures: number
  /** Last reported checkpoint; empty when there is none. */
  checkpoint: string
  readonly run: TaskRun | undefined
  /** Other runs of the task that a target still has. They are being stopped, and the task isn't placed before they have ended. */
  readonly strayRuns: readonly TaskRun[]
  /** Failures in a row of a long-running task, by which its next restart is delayed. */
  restarts: number
  /** Whether the task waits for its restart and isn't placed yet. */
  readonly isDelayed: boolean
  /** Number of runs that this owner has placed. */
  runCount: number
}

/** A task as only its step may change it. */
type TaskState = { -readonly [Field in keyof TaskProgress]: TaskProgress[Field] }

/** Follows the steps of an occurrence. */
export interface StepObserver {
  onComplete (step: StepProgress): void
  /** Tells that a task got an entry of its own, or lost it. */
  onEntriesChanged (by: 1 | -1): void
  /** Tells by how much the number of tasks with a run has changed, and of those of which a target has or may have any run. */
  onRunsChanged (placedTasks: number, activeTasks: number): void
}

const NO_OBSERVER: StepObserver = { onComplete: () => {}, onEntriesChanged: () => {}, onRunsChanged: () => {} }
const NO_TASKS: ReadonlyMap<number, TaskState> = new Map()
const NO_INDEXES = new IndexSet()

/**
 * Progress of one step in one occurrence of a job. The number of its tasks is the caller's choice and may be large, so that only tasks
 * with a state of their own have an entry: those with runs, failures, checkpoints or a delay. The others are pending or done.
 */
export class StepProgress {
  readonly step: JobStep
  readonly key: StepKey
  /** Monotonic time at which all earlier steps were complete. */
  readyAtMs: number | undefined
  /** Number of failed runs of the gang as a whole. */
  gangFailures = 0
  /** Highest run number whose failure is counted in `gangFailures`. */
  lastFailedRun = 0
  /** Monotonic time before which no task of the step is placed again, as a backoff after repeated failures. */
  notBeforeMs = Number.NEGATIVE_INFINITY
  readonly #observer: StepObserver
  #failedTargets: FailedTargets | undefined
  #tasks: Map<number, TaskState> | undefined
  #done: IndexSet | undefined
  /** Tasks that are not done and can't be placed now. */
  #blockedCount = 0
  #activeCount = 0

  constructor (jobId: string, occurrence: number, index: number, step: JobStep, observer: StepObserver = NO_OBSERVER) {
    this.step = step
    this.key = { jobId, occurrence, step: index }
    this.#observer = observer
  }

  /** Targets on which a task of the step has failed. Shared by all tasks, since they run the same work. */
  get failedTargets (): FailedTargets {
    this.#failedTargets ??= new FailedTargets()
    return this.#failedTargets
  }

  isComplete (): boolean {
    return this.#readDone().count() === this.step.taskCount
  }

  hasTask (index: number): boolean {
    return index >= 0 && index < this.step.taskCount
  }

  isDone (index: number): boolean {
    return this.#readDone().has(index)
  }

  /** Lists the indexes of the tasks that are done. */
  readDone (): IndexSet {
    return this.#readDone()
  }

  /** Returns a task if it has a state of its own. */
  findTask (index: number): TaskProgress | undefined {
    return this.#tasks?.get(index)
  }

  /** Returns a task, with an entry that is kept for as long as the task has a state of its own. */
  ensureTask (index: number): TaskProgress {
    return this.#ensureState(index)
  }

  /** Lists the tasks that have a state of their own. */
  listTasks (): Iterable<TaskProgress> {
    return (this.#tasks ?? NO_TASKS).values()
  }

  /** Whether anything about the step is to be stored. */
  hasState (): boolean {
    return this.countEntries() > 0 || this.#readDone().count() > 0
  }

  /** Returns the number of tasks that have a state of their own. */
  countEntries (): number {
    return this.#tasks?.size ?? 0
  }

  /** Marks a task as done. In a gang, one member that is done completes all members. */
  markDone (index: number): void {
    if (this.step.isGang) this.markRangeDone(0, this.step.taskCount - 1)
    else this.markRangeDone(index, index)
  }

  /** Marks consecutive tasks as done. */
  markRangeDone (first: number, last: number): void {
    const end = Math.min(last, this.step.taskCount - 1)
    if (end < first || this.isComplete()) return
    const entries = end - first < this.countEntries() ? this.#listEntriesBetween(first, end) : this.#listEntriesWithin(first, end)
    for (const task of entries) if (!this.isDone(task.key.index) && isBlocked(task)) this.#blockedCount--
    this.#done ??= new IndexSet()
    this.#done.addRange(first, end)
    for (const task of entries) this.#prune(task)
    if (this.isComplete()) this.#observer.onComplete(this)
  }

  /** Marks all tasks as done. */
  markAllDone (): void {
    this.markRangeDone(0, this.step.taskCount - 1)
  }

  /**
   * Lists the indexes of tasks that are neither done nor on a target, and whose restart isn't delayed, up to a limit. The tasks of a
   * gang are listed only when that holds for all members.
   */
  listPending (limit = Number.POSITIVE_INFINITY): number[] {
    const pending: number[] = []
    if (this.countPending() === 0 || limit <= 0) return pending
    for (const index of this.#readDone().listMissing(this.step.taskCount)) {
      const task = this.#tasks?.get(index)
      if (task !== undefined && isBlocked(task)) continue
      pending.push(index)
      if (pending.length >= limit) break
    }
    return pending
  }

  /** Counts the tasks that {@link listPending} returns without a limit. */
  countPending (): number {
    const { taskCount, isGang } = this.step
    const count = taskCount - this.#readDone().count() - this.#blockedCount
    return isGang && count < taskCount ? 0 : count
  }

  hasRuns (): boolean {
    return this.#activeCount > 0
  }

  /** Attaches a run to its task: as the run, or as a stray one beside it. */
  addRun (index: number, run: TaskRun): void {
    this.#updateTask(index, (task) => {
      if (task.run === undefined) task.run = run
      else task.strayRuns = [...task.strayRuns, run]
    })
  }

  /** Attaches a run to its task in place of the present one, which becomes a stray one. Returns the latter. */
  replaceRun (index: number, run: TaskRun): TaskRun | undefined {
    const previous = this.findTask(index)?.run
    this.#updateTask(index, (task) => {
      if (previous !== undefined) task.strayRuns = [...task.strayRuns, previous]
      task.run = run
    })
    return previous
  }

  /** Detaches a run that has ended from its task. */
  removeRun (index: number, run: TaskRun): void {
    this.#updateTask(index, (task) => {
      if (task.run === run) task.run = undefined
      if (task.strayRuns.includes(run)) task.strayRuns = task.strayRuns.filter((stray) => stray !== run)
    })
  }

  /** Delays the restart of a task, or allows it again. */
  setDelayed (index: number, isDelayed: boolean): void {
    this.#updateTask(index, (task) => { task.isDelayed = isDelayed })
  }

  /** Changes a task and keeps the counts up to date. */
  #updateTask (index: number, apply: (task: TaskState) => void): void {
    const task = this.#ensureState(index)
    const before = { isBlocked: isBlocked(task), isPlaced: task.run !== undefined, isActive: hasAnyRun(task) }
    apply(task)
    if (!this.isDone(index)) this.#blockedCount += Number(isBlocked(task)) - Number(before.isBlocked)
    const placed = Number(task.run !== undefined) - Number(before.isPlaced)
    const active = Number(hasAnyRun(task)) - Number(before.isActive)
    this.#activeCount += active
    if (placed !== 0 || active !== 0) this.#observer.onRunsChanged(placed, active)
    this.#prune(task)
  }

  #ensureState (index: number): TaskState {
    this.#tasks ??= new Map()
    let task = this.#tasks.get(index)
    if (task === undefined) {
      const key = { ...this.key, index }
      task = { key, failures: 0, checkpoint: '', run: undefined, strayRuns: [], restarts: 0, isDelayed: false, runCount: 0 }
      this.#tasks.set(index, task)
      this.#observer.onEntriesChanged(1)
    }
    return task
  }

  /** Drops the entry of a task that has no state of its own any more. */
  #prune (task: TaskState): void {
    if (hasAnyRun(task) || !(this.isDone(task.key.index) || isBlank(task))) return
    if (this.#tasks?.delete(task.key.index) === true) this.#observer.onEntriesChanged(-1)
  }

  #listEntriesBetween (first: number, last: number): TaskState[] {
    const entries: TaskState[] = []
    for (let index = first; index <= last; index++) {
      const task = this.#tasks?.get(index)
      if (task !== undefined) entries.push(task)
    }
    return entries
  }

  #listEntriesWithin (first: number, last: number): TaskState[] {
    return [...(this.#tasks ?? NO_TASKS).values()].filter(({ key: { index } }) => index >= first && index <= last)
  }

  #readDone (): IndexSet {
    return this.#done ?? NO_INDEXES
  }
}

/** Lists all runs of a task that a target has or may have. */
export function listRuns (task: TaskProgress | undefined): readonly TaskRun[] {
  if (task === undefined) return []
  return task.run === undefined ? task.strayRuns : [...task.strayRuns, task.run]
}

function hasAnyRun ({ run, strayRuns }: TaskProgress): boolean {
  return run !== undefined || strayRuns.length > 0
}

/** Whether a task that isn't done can't be placed now. */
function isBlocked (task: TaskProgress): boolean {
  return hasAnyRun(task) || task.isDelayed
}

/** Whether an entry tells nothing that its absence wouldn't. */
function isBlank ({ failures, checkpoint, restarts, isDelayed, runCount }: TaskProgress): boolean {
  return failures === 0 && checkpoint === '' && restarts === 0 && !isDelayed && runCount === 0
}
