import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { JobTable } from '../job-table.js'
import { RUN_END_BASES, RUN_OUTCOMES, type RunEnd, type TaskRun } from '../task-run.js'
import type { TargetSpeeds } from './target-speeds.js'

/** Records the run times of finished runs that tell something about their target. */
export class RunTimeRecorder {
  readonly #clock: Clock
  readonly #table: JobTable
  readonly #speeds: TargetSpeeds

  constructor (clock: Clock, table: JobTable, speeds: TargetSpeeds) {
    this.#clock = clock
    this.#table = table
    this.#speeds = speeds
  }

  /** Call it before the run is detached from its task. */
  record (run: TaskRun, { outcome, basis }: RunEnd): void {
    if (outcome !== RUN_OUTCOMES.done || basis !== RUN_END_BASES.reported || !Number.isFinite(run.sentAtMs)) return
    const progress = this.#table.find(run.task.jobId)
    const step = progress?.findStep(run.task.occurrence, run.task.step)
    const task = step?.findTask(run.task.index)
    if (progress === undefined || step === undefined || task === undefined) return
    // The slowest member of a gang decides for all, and a task that was started before may have resumed from a checkpoint.
    if (step.step.isGang || step.step.isLongRunning || task.runCount > 1) return
    this.#speeds.record({
      targetId: run.targetId, service: progress.job.terms.service, step, durationMs: this.#clock.readMonotonicMs() - run.sentAtMs
    })
  }
}
