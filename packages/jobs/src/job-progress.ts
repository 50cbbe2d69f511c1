import { estimateHeldBytes } from './held-work/estimate-held-bytes.js'
import { IndexSet, type IndexRange } from './index-ranges.js'
import { JOB_STATES, type Job, type JobState } from './job.js'
import { OccurrenceProgress, type JobTally, type ReadinessChanges } from './progress/occurrence-progress.js'
import { StepGraph } from './progress/step-graph.js'
import { listRuns, type StepProgress } from './step-progress.js'
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
  readonly graph: StepGraph
  /** Estimated length of the job's record, in proportion to which memory is held for it. */
  readonly heldBytes: number
  /** The added occurrences that are not completed, by index. Later occurrences are added when they are due. */
  readonly #open = new Map<number, OccurrenceProgress>()
  readonly #completed = new IndexSet()
  readonly #tasksPerOccurrence: number
  readonly #tally: JobTally = { entries: 0, placedTasks: 0, activeTasks: 0, incompleteOccurrences: 0 }
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
    this.graph = new StepGraph(job.steps)
    this.heldBytes = estimateHeldBytes(job)
    this.objectiveMs = acceptedAtMs + this.#computeObjectiveDurationMs()
  }

  /** Adds the next occurrence and returns its steps. */
  addOccurrence (): readonly StepProgress[] {
    const occurrence = this.#addedCount++
    const added = new OccurrenceProgress(this.job, occurrence, this.graph, this.#tally)
    this.#open.set(occurrence, added)
    return added.steps
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
    const open = this.#open.get(occurrence)
    if (this.job.schedule === undefined || open?.isComplete() !== true || open.hasRuns()) return []
    open.close()
    this.#open.delete(occurrence)
    this.#completed.add(occurrence)
    return open.steps
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
  * listOpen (): Generator<readonly StepProgress[]> {
    for (const { steps } of this.#open.values()) yield steps
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
    return this.#tally.entries
  }

  /** Returns the number of tasks with a run. */
  countRuns (): number {
    return this.#tally.placedTasks
  }

  /** Whether any occurrence wasn't dropped. */
  hasOpenOccurrence (): boolean {
    return this.#open.size > 0
  }

  /** Whether the job's open tasks leave room for those of another occurrence. The first open occurrence may exceed the limit. */
  hasRoomForOccurrence (): boolean {
    return this.#open.size === 0 || this.countOpenTasks() + this.#tasksPerOccurrence <= MAXIMUM_OPEN_TASKS
  }

  /** Whether the next occurrence of a scheduled job is due and may be added. */
  isOccurrenceDue (wallMs: number): boolean {
    if (this.job.schedule === undefined || this.isFinal() || this.#addedCount >= this.readOccurrenceCount()) return false
    return this.computeDueWallMs(this.#addedCount) <= wallMs && this.hasRoomForOccurrence()
  }

  /** Restarts the objective when the next occurrence of a scheduled job is due. */
  renewObjective (nowMs: number): void {
    this.objectiveMs = nowMs + this.#computeObjectiveDurationMs()
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
    for (const steps of this.listOpen()) for (const step of steps) step.markAllDone()
  }

  /** Returns the steps of an occurrence; empty when it was dropped or not added yet. */
  findSteps (occurrence: number): readonly StepProgress[] {
    return this.#open.get(occurrence)?.steps ?? []
  }

  findStep (occurrence: number, step: number): StepProgress | undefined {
    return this.findSteps(occurrence)[step]
  }

  /** Returns the steps of an occurrence that have become ready, and those that have been completed, since the last call. */
  takeReadinessChanges (occurrence: number): ReadinessChanges {
    return this.#open.get(occurrence)?.takeChanges() ?? { ready: [], completed: [] }
  }

  /** Returns the run time of the critical path through the incomplete steps of the newest occurrence. */
  computeRemainingMs (): number {
    return this.#open.get(this.#addedCount - 1)?.computeRemainingMs() ?? 0
  }

  /** Returns the state in memory, which may be ahead of the store. */
  readState (): JobState {
    if (this.isCancelled) return JOB_STATES.cancelled
    if (this.hasFailed) return JOB_STATES.failed
    if (this.#addedCount === this.readOccurrenceCount() && this.#tally.incompleteOccurrences === 0) return JOB_STATES.completed
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
    for (const steps of this.listOpen()) {
      for (const step of steps) for (const task of step.listTasks()) yield * listRuns(task)
    }
  }

  #computeObjectiveDurationMs (): number {
    return this.job.terms.stretch * this.graph.criticalPathMs + this.job.terms.targetDurationMs
  }
}
