import type { JobStep } from './job.js'
import type { TaskKey, TaskRun } from './task-run.js'

/** Progress of one task. */
export interface TaskProgress {
  readonly key: TaskKey
  isDone: boolean
  /** Ends that count against the attempts of the queue. */
  failures: number
  /** Last checkpoint reported; empty when there is none. */
  checkpoint: string
  run: TaskRun | undefined
  /** Runs that this owner has placed. */
  runCount: number
}

/** Progress of one step in one occurrence of a job. */
export class StepProgress {
  readonly step: JobStep
  readonly tasks: TaskProgress[]
  /** Monotonic time at which all earlier steps were complete. */
  readyAtMs: number | undefined
  /** Failed runs of the gang as a whole. */
  gangFailures = 0
  /** Highest run number of the gang whose failure is counted. */
  lastFailedRun = 0
  /** Targets on which a task of the step has failed. All tasks of a step run the same work. */
  readonly failedTargets = new Set<string>()
  /** Monotonic time before which no task of the step is placed again after repeated failures. */
  notBeforeMs = Number.NEGATIVE_INFINITY
  /** Number of tasks that are done. */
  #doneCount = 0

  constructor (jobId: string, occurrence: number, index: number, step: JobStep) {
    this.step = step
    this.tasks = Array.from({ length: step.taskCount }, (_, taskIndex) => ({
      key: { jobId, occurrence, step: index, index: taskIndex },
      isDone: false,
      failures: 0,
      checkpoint: '',
      run: undefined,
      runCount: 0
    }))
  }

  isComplete (): boolean {
    return this.#doneCount === this.tasks.length
  }

  /** Marks a task as done; in a gang, one end stands for all members. */
  markDone (task: TaskProgress): void {
    for (const member of this.step.isGang ? this.tasks : [task]) {
      if (member.isDone) continue
      member.isDone = true
      this.#doneCount++
    }
  }

  /** Tasks that are neither done nor on a target. A gang is listed only when no member is on a target. */
  listPending (): TaskProgress[] {
    const pending = this.tasks.filter((task) => !task.isDone && task.run === undefined)
    return this.step.isGang && pending.length < this.tasks.length ? [] : pending
  }

  /** Number of tasks that {@link listPending} lists. */
  countPending (): number {
    let count = 0
    for (const task of this.tasks) if (!task.isDone && task.run === undefined) count++
    return this.step.isGang && count < this.tasks.length ? 0 : count
  }

  hasRuns (): boolean {
    return this.tasks.some((task) => task.run !== undefined)
  }
}
