import type { Job, JobState } from './job.js'
import { JobProgress } from './job-progress.js'
import type { StepProgress } from './step-progress.js'
import type { Holdings } from './turns/turn-meter.js'
import { WorkMeter } from './turns/work-meter.js'

/** A step whose preceding steps are complete. */
export interface ReadyStep {
  readonly progress: JobProgress
  readonly step: StepProgress
}

/** The state that is kept of a finished job. */
export interface FinishedJob {
  readonly state: JobState
  readonly account: string | undefined
  /** Monotonic time at which the job finished. */
  readonly atMs: number
}

/** The jobs that an owner manages, and the recently finished ones. */
export class JobTable {
  readonly #active = new Map<string, JobProgress>()
  readonly #finished = new Map<string, FinishedJob>()
  /** The ready steps of each job. */
  readonly #ready = new Map<JobProgress, Map<StepProgress, ReadyStep>>()
  readonly #quarantined = new Set<string>()
  #heldBytes = 0
  readonly #work: WorkMeter

  /** `work` counts the steps that are visited. */
  constructor (work = new WorkMeter()) {
    this.#work = work
  }

  has (id: string): boolean {
    return this.#active.has(id) || this.#finished.has(id) || this.#quarantined.has(id)
  }

  /** Blocks a job from being added to the table and run. */
  quarantine (id: string): void {
    this.#quarantined.add(id)
  }

  find (id: string): JobProgress | undefined {
    return this.#active.get(id)
  }

  findFinished (id: string): FinishedJob | undefined {
    return this.#finished.get(id)
  }

  listActive (): Iterable<JobProgress> {
    return this.#active.values()
  }

  countActive (): number {
    return this.#active.size
  }

  /** Returns the sizes of what is held for the jobs. */
  measureHoldings (): Holdings {
    let steps = 0
    let tasks = 0
    for (const progress of this.#active.values()) {
      steps += progress.countOpenSteps()
      tasks += progress.countTaskEntries()
    }
    return { jobs: this.#active.size, steps, tasks }
  }

  /** Returns the estimated length of the records of all active jobs. */
  countHeldBytes (): number {
    return this.#heldBytes
  }

  /** Lists the ready steps, those of each job one after the other. */
  * listReady (): Generator<ReadyStep> {
    for (const steps of this.#ready.values()) yield * steps.values()
  }

  add (job: Job, acceptedAtMs: number): JobProgress {
    const progress = new JobProgress(job, acceptedAtMs)
    this.#work.add(progress.graph.size)
    this.#heldBytes += progress.heldBytes
    this.#active.set(job.id, progress)
    return progress
  }

  /** Adds the steps of an occurrence that have become ready to the ready steps, and removes the complete ones. */
  updateReady (progress: JobProgress, occurrence: number, nowMs: number): void {
    const { ready, completed } = progress.takeReadinessChanges(occurrence)
    if (ready.length + completed.length === 0) return
    this.#work.add(ready.length + completed.length)
    const steps = this.#ready.get(progress) ?? new Map<StepProgress, ReadyStep>()
    for (const step of completed) steps.delete(step)
    for (const step of ready) {
      step.readyAtMs ??= nowMs
      steps.set(step, { progress, step })
    }
    if (steps.size > 0) this.#ready.set(progress, steps)
    else this.#ready.delete(progress)
  }

  /** Removes a job's steps from the ready steps. */
  withdraw (progress: JobProgress): void {
    this.#ready.delete(progress)
  }

  finish (progress: JobProgress, state: JobState, nowMs: number): void {
    this.withdraw(progress)
    if (this.#active.delete(progress.job.id)) this.#heldBytes -= progress.heldBytes
    this.#finished.set(progress.job.id, { state, account: progress.job.account, atMs: nowMs })
  }

  /** Removes jobs that finished before this monotonic time. */
  forgetFinished (beforeMs: number): void {
    for (const [id, finished] of this.#finished) {
      if (finished.atMs >= beforeMs) return
      this.#finished.delete(id)
    }
  }

  /** Returns the number of jobs of a queue that have not started. A scheduled job that is due later doesn't count. */
  countWaiting (queue: string): number {
    let count = 0
    for (const progress of this.#active.values()) {
      if (progress.job.terms.queue === queue && !progress.hasStarted && !progress.isFinal()) count++
    }
    return count
  }
}
