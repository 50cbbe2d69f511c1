import { IndexSet, type IndexRange } from './index-ranges.js'
import { computeCriticalPathMs, JOB_STATES, type Job, type JobState } from './job.js'
import { listRuns, StepProgress, type RunTally } from './step-progress.js'
import type { TaskRun } from './task-run.js'

/** Occurrences that are due wait while a job has this many open tasks, since its progress record grows with them. */
const MAXIMUM_OPEN_TASKS = 10_000

/**
 * Progress of one job in the owner's memory. Of a completed occurrence of a scheduled job only its index is kept, so that the
 * memory doesn't grow with the work done.
 */
export class JobProgress {
  readonly job: Job
  /** Acceptance time on the owner's monotonic clock. */
  readonly acceptedAtMs: number
  /** Completion objective on the owner's monotonic clock. */
  objectiveMs: number
  /** Steps of the added occurrences that are not completed, by index. Later occurrences are added when they are due. */
  readonly #open = new Map<number, readonly StepProgress[]>()
  readonly #completed = new IndexSet()
  readonly #tasksPerOccurrence: number
  readonly #tally: RunTally = { placedTasks: 0, activeTasks: 0 }
  #addedCount = 0
  /** Monotonic time until which the job, once later than three objectives, comes after all others, since its tasks keep failing. */
  demotedUntilMs = Number.NEGATIVE_INFINITY
  hasStarted = false
  isCancelled = false
  hasFailed = false
  /** The final state has been handled: no task is ready any more, and the remaining runs are being stopped. */
  isClosed = false
  /** Final state, once it is stored. */
  storedState: JobState | undefined

  constructor (job: Job, acceptedAtMs: number) {
    this.job = job
    this.acceptedAtMs = acceptedAtMs
    this.#tasksPerOccurrence = job.steps.reduce((sum, step) => sum + step.taskCount, 0)
    this.objectiveMs = acceptedAtMs + job.terms.stretch * computeCriticalPathMs(job.steps) + job.terms.targetDurationMs
  }

  /** Adds the next occurrence and returns its steps. */
  addOccurrence (): readonly StepProgress[] {
    const occurrence = this.#addedCount++
    const steps = this.job.steps.map((step, index) => new StepProgress(this.job.id, occurrence, index, step, this.#tally))
    this.#open.set(occurrence, steps)
    return steps
  }

  /** Restores the occurrences that an earlier owner has added, of which some are completed. */
  restoreOccurrences (count: number, completed: readonly IndexRange[]): void {
    for (const [first, last] of completed) this.#completed.addRange(first, last)
    // The first occurrence of a job without a schedule is there already.
    for (const occurrence of this.#completed.listMissing(count)) {
      if (occurrence < this.#addedCount) continue
      this.#addedCount = occurrence
      this.addOccurrence()
    }
    this.#addedCount = Math.max(this.#addedCount, count)
  }

  /** Lists the numbers of the occurrences that weren't dropped. */
  listOpenOccurrences (): number[] {
    return [...this.#open.keys()]
  }

  /** Drops the steps of an occurrence of a scheduled job once they are complete and have no runs. Returns the dropped steps. */
  dropCompleted (occurrence: number): readonly StepProgress[] {
    const steps = this.findSteps(occurrence)
    if (this.job.schedule === undefined || !steps.every((step) => step.isComplete() && !step.hasRuns())) return []
    if (this.#open.delete(occurrence)) this.#completed.add(occurrence)
    return steps
  }

  /** Returns the number of occurrences that were added, including the completed ones. */
  countAdded (): number {
    return this.#addedCount
  }

  /** Lists the occurrences whose steps were dropped as completed. */
  listCompleted (): IndexRange[] {
    return this.#completed.listRanges()
  }

  /** Returns the steps of each occurrence that wasn't dropped. */
  listOpen (): Iterable<readonly StepProgress[]> {
    return this.#open.values()
  }

  /** Returns the number of steps in the occurrences that weren't dropped. */
  countOpenSteps (): number {
    return this.#open.size * this.job.steps.length
  }

  /** Returns the number of tasks in the occurrences that weren't dropped, whether they are done or not. */
  countOpenTasks (): number {
    return this.#open.size * this.#tasksPerOccurrence
  }

  /** Whether the job's tasks keep failing for a reason of their own, wherever they run. */
  isFailingItself (nowMs: number): boolean {
    return nowMs < this.demotedUntilMs
  }

  /** Returns the number of tasks that have an entry of their own. */
  countTaskEntries (): number {
    let count = 0
    for (const steps of this.#open.values()) for (const step of steps) count += step.countEntries()
    return count
  }

  /** Returns the number of tasks with a run. */
  countRuns (): number {
    return this.#tally.placedTasks
  }

  /** Whether the job's open tasks leave room for those of another occurrence. The first open occurrence may exceed the limit. */
  hasRoomForOccurrence (): boolean {
    return this.#open.size === 0 || this.countOpenTasks() + this.#tasksPerOccurrence <= MAXIMUM_OPEN_TASKS
  }

  /** Restarts the objective when the next occurrence of a scheduled job is due. */
  renewObjective (nowMs: number): void {
    this.objectiveMs = nowMs + this.job.terms.stretch * computeCriticalPathMs(this.job.steps) + this.job.terms.targetDurationMs
  }

  /** Returns the total number of occurrences of the job. */
  readOccurrenceCount (): number {
    return this.job.schedule?.occurrences ?? 1
  }

  /** Returns the due time of an occurrence in Unix milliseconds; 0 for a job without a schedule. */
  computeDueWallMs (occurrence: number): number {
    const { schedule } = this.job
    return schedule === undefined ? 0 : schedule.firstDueMs + occurrence * schedule.intervalMs
  }

  /** Marks all tasks of the open occurrences as done. */
  markAllDone (): void {
    for (const steps of this.#open.values()) for (const step of steps) step.markAllDone()
  }

  /** Returns the steps of an occurrence; empty when it was dropped or not added yet. */
  findSteps (occurrence: number): readonly StepProgress[] {
    return this.#open.get(occurrence) ?? []
  }

  findStep (occurrence: number, step: number): StepProgress | undefined {
    return this.findSteps(occurrence)[step]
  }

  /** Whether all steps that a step depends on are complete. */
  isReady (occurrence: number, step: StepProgress): boolean {
    const steps = this.findSteps(occurrence)
    return step.step.after.every((earlier) => steps[earlier]?.isComplete() === true)
  }

  /** Returns the state in memory, which may be ahead of the store. */
  readState (): JobState {
    if (this.isCancelled) return JOB_STATES.cancelled
    if (this.hasFailed) return JOB_STATES.failed
    const isComplete = this.#addedCount === this.readOccurrenceCount() &&
      [...this.#open.values()].every((steps) => steps.every((step) => step.isComplete()))
    if (isComplete) return JOB_STATES.completed
    return this.hasStarted ? JOB_STATES.running : JOB_STATES.queued
  }

  /** Whether the job is in a final state and gets no further runs. */
  isFinal (): boolean {
    const state = this.readState()
    return state !== JOB_STATES.queued && state !== JOB_STATES.running
  }

  hasRuns (): boolean {
    return this.#tally.activeTasks > 0
  }

  /** Lists the runs of all tasks that a target has or may have. */
  * listRuns (): Generator<TaskRun> {
    if (!this.hasRuns()) return
    for (const steps of this.#open.values()) {
      for (const step of steps) for (const task of step.listTasks()) yield * listRuns(task)
    }
  }
}
