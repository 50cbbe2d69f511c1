import { computeCriticalPathMs, JOB_STATES, type Job, type JobState } from './job.js'
import { StepProgress, type TaskProgress } from './step-progress.js'
import type { TaskKey } from './task-run.js'

/** Progress of one job in the owner's memory. */
export class JobProgress {
  readonly job: Job
  /** Acceptance time on the owner's monotonic clock. */
  readonly acceptedAtMs: number
  /** Completion objective on the owner's monotonic clock. */
  objectiveMs: number
  /** Steps of each occurrence. Later occurrences are added when they are due. */
  readonly occurrences: StepProgress[][] = []
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
    this.objectiveMs = acceptedAtMs + job.terms.stretch * computeCriticalPathMs(job.steps) + job.terms.targetDurationMs
  }

  /** Adds the next occurrence and returns its steps. */
  addOccurrence (): StepProgress[] {
    const occurrence = this.occurrences.length
    const steps = this.job.steps.map((step, index) => new StepProgress(this.job.id, occurrence, index, step))
    this.occurrences.push(steps)
    return steps
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

  /** Marks all tasks of all added occurrences as done. */
  markAllDone (): void {
    for (const { step, task } of this.listTasks()) step.markDone(task)
  }

  findStep (occurrence: number, step: number): StepProgress | undefined {
    return this.occurrences[occurrence]?.[step]
  }

  findTask (key: TaskKey): TaskProgress | undefined {
    return this.findStep(key.occurrence, key.step)?.tasks[key.index]
  }

  /** Whether all steps that a step depends on are complete. */
  isReady (occurrence: number, step: StepProgress): boolean {
    const steps = this.occurrences[occurrence] ?? []
    return step.step.after.every((earlier) => steps[earlier]?.isComplete() === true)
  }

  /** Returns the state in memory, which may be ahead of the store. */
  readState (): JobState {
    if (this.isCancelled) return JOB_STATES.cancelled
    if (this.hasFailed) return JOB_STATES.failed
    const isComplete = this.occurrences.length === this.readOccurrenceCount() &&
      this.occurrences.every((steps) => steps.every((step) => step.isComplete()))
    if (isComplete) return JOB_STATES.completed
    return this.hasStarted ? JOB_STATES.running : JOB_STATES.queued
  }

  /** Whether the job is in a final state and gets no further runs. */
  isFinal (): boolean {
    const state = this.readState()
    return state !== JOB_STATES.queued && state !== JOB_STATES.running
  }

  hasRuns (): boolean {
    return this.occurrences.some((steps) => steps.some((step) => step.hasRuns()))
  }

  * listTasks (): Generator<{ step: StepProgress, task: TaskProgress }> {
    for (const steps of this.occurrences) {
      for (const step of steps) for (const task of step.tasks) yield { step, task }
    }
  }
}
