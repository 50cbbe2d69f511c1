import type { Job, JobState } from './job.js'
import { JobProgress } from './job-progress.js'
import type { StepProgress } from './step-progress.js'

/** A step whose earlier steps are complete. */
export interface ReadyStep {
  readonly progress: JobProgress
  readonly step: StepProgress
}

/** A finished job: only its state is kept. */
export interface FinishedJob {
  readonly state: JobState
  readonly atMs: number
}

/** The jobs that an owner knows. */
export class JobTable {
  readonly #active = new Map<string, JobProgress>()
  readonly #finished = new Map<string, FinishedJob>()
  readonly #ready = new Map<StepProgress, ReadyStep>()
  readonly #quarantined = new Set<string>()

  has (id: string): boolean {
    return this.#active.has(id) || this.#finished.has(id) || this.#quarantined.has(id)
  }

  /** Keeps a job out of the table: nothing of it may run. */
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

  listReady (): Iterable<ReadyStep> {
    return this.#ready.values()
  }

  add (job: Job, acceptedAtMs: number): JobProgress {
    const progress = new JobProgress(job, acceptedAtMs)
    this.#active.set(job.id, progress)
    return progress
  }

  /** Puts the steps of an occurrence that have become ready into the list of ready steps. */
  updateReady (progress: JobProgress, occurrence: number, nowMs: number): void {
    for (const step of progress.occurrences[occurrence] ?? []) {
      if (step.isComplete()) {
        this.#ready.delete(step)
        continue
      }
      if (this.#ready.has(step) || !progress.isReady(occurrence, step)) continue
      step.readyAtMs ??= nowMs
      this.#ready.set(step, { progress, step })
    }
  }

  /** Takes a job's steps off the list of ready steps. */
  withdraw (progress: JobProgress): void {
    for (const occurrence of progress.occurrences) for (const step of occurrence) this.#ready.delete(step)
  }

  finish (progress: JobProgress, state: JobState, nowMs: number): void {
    this.withdraw(progress)
    this.#active.delete(progress.job.id)
    this.#finished.set(progress.job.id, { state, atMs: nowMs })
  }

  /** Forgets jobs that finished before this time. */
  forgetFinished (beforeMs: number): void {
    for (const [id, finished] of this.#finished) {
      if (finished.atMs >= beforeMs) return
      this.#finished.delete(id)
    }
  }

  /** Jobs of a queue that have not begun. A job that is due later isn't waiting. */
  countWaiting (queue: string): number {
    let count = 0
    for (const progress of this.#active.values()) {
      if (progress.job.terms.queue === queue && !progress.hasStarted && !progress.isFinal()) count++
    }
    return count
  }
}
