import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { MetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import type { AccountShares } from './accounts/account-shares.js'
import { createCharge } from './accounts/account-usage.js'
import { JOB_EVENTS } from './job-events.js'
import { JOB_METRICS } from './job-metrics.js'
import type { Job, Resources } from './job.js'
import type { JobProgress } from './job-progress.js'
import type { JobTable } from './job-table.js'
import { shouldEvictRun } from './eviction.js'
import { RestartBackoff } from './failures/restart-backoff.js'
import { OccurrenceLimiter } from './progress/occurrence-limiter.js'
import { listRuns, type StepProgress } from './step-progress.js'
import type { ReportedEnd, ReportedRun } from './target-gateway.js'
import { computeReservedResources, NO_RESOURCES } from './capacity-tracker.js'
import {
  formatTaskName, parseTaskName, RUN_END_BASES, RUN_OUTCOMES, RUN_PHASES, type RunEnd, type RunOutcome, type TaskKey, type TaskRun
} from './task-run.js'

/** A run without progress for this long is stalled. */
const STALL_TIMEOUT_MS = 2_500
/** Failures after which a task waits before its next run, so that a faulty target is detected before the attempts are used up. */
const BACKOFF_AFTER_FAILURES = 2
const BACKOFF_STEP_MS = 400
/** A run is not stalled before it has run for this multiple of its estimate. */
const STALL_ESTIMATE_FACTOR = 1

export interface TaskSupervisorOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: EventLogger
  readonly metrics: MetricSink
  readonly table: JobTable
  readonly shares: AccountShares
  readonly markChanged: (jobId: string) => void
  readonly runWhenJobStored: (jobId: string, callback: () => void) => void
  readonly requestStop: (run: TaskRun) => void
  readonly requestRound: () => void
  /** Called once the final state of a job is stored and no run of it is left. */
  readonly onFinished: (progress: JobProgress) => void
  /** Called with the steps of a completed occurrence. */
  readonly onStepsDropped: (steps: readonly StepProgress[]) => void
  readonly onStalled: (run: TaskRun) => void
}

/** Advances jobs from acceptance to their final state: applies the outcome of each run to its task, step and job. */
export class TaskSupervisor {
  readonly #options: TaskSupervisorOptions
  readonly #backoff: RestartBackoff
  readonly #occurrences = new OccurrenceLimiter()

  constructor (options: TaskSupervisorOptions) {
    this.#options = options
    this.#backoff = new RestartBackoff(options.clock, options.random)
  }

  /** Adds a job to the table, in the order of acceptance. `acceptedAtMs` is on the owner's monotonic clock. */
  adoptJob (job: Job, acceptedAtMs: number): JobProgress {
    const { table, logger, clock, metrics, shares } = this.#options
    const progress = table.add(job, acceptedAtMs)
    shares.classify(progress)
    if (job.schedule === undefined) {
      progress.addOccurrence()
      table.updateReady(progress, 0, clock.readMonotonicMs())
    }
    const ageMs = Math.round(clock.readMonotonicMs() - acceptedAtMs)
    logger.logInfo(JOB_EVENTS.jobAdopted, { jobId: job.id, queue: job.terms.queue, steps: job.steps.length, ageMs })
    if (shares.isBeyondShare(progress, clock.readMonotonicMs())) {
      logger.logInfo(JOB_EVENTS.jobBeyondShare, { jobId: job.id, queue: job.terms.queue, account: job.account })
      metrics.incrementCounter(JOB_METRICS.jobsBeyondShare, 1, { queue: job.terms.queue })
    }
    return progress
  }

  /** Adds the next occurrence of each scheduled job for which it is due, as far as the limits leave room for them. */
  addDueOccurrences (): void {
    const { clock, table } = this.#options
    const nowMs = clock.readMonotonicMs()
    for (const progress of this.#occurrences.selectDue(table.listActive(), table.measureHoldings().steps, clock.readWallMs())) {
      const next = progress.countAdded()
      progress.addOccurrence()
      progress.renewObjective(nowMs)
      table.updateReady(progress, next, nowMs)
      this.#options.markChanged(progress.job.id)
      this.#options.requestRound()
    }
  }

  cancelJob (id: string): void {
    const progress = this.#options.table.find(id)
    if (progress === undefined || progress.isFinal()) return
    progress.isCancelled = true
    this.#options.logger.logInfo(JOB_EVENTS.jobCancelled, { jobId: id })
    this.#closeJob(progress)
  }

  /** Fails a job whose progress can't be stored, since its tasks could run twice after a change of the owner. */
  failUnstorableJob (id: string): void {
    const progress = this.#options.table.find(id)
    if (progress === undefined || progress.isFinal()) return
    progress.hasFailed = true
    this.#closeJob(progress)
  }

  /** Closes a recovered job that an earlier owner had brought to a final state. */
  closeIfFinal (progress: JobProgress): void {
    if (progress.isFinal()) this.#closeJob(progress)
  }

  onRunStarted (run: TaskRun): void {
    const progress = this.#options.table.find(run.task.jobId)
    if (progress === undefined || progress.hasStarted) return
    progress.hasStarted = true
  }

  onCheckpoint (run: TaskRun, checkpoint: string): void {
    const step = this.#findOpenStep(run.task)
    if (step !== undefined) step.ensureTask(run.task.index).checkpoint = checkpoint
  }

  onRunEnded (run: TaskRun, { outcome, basis, checkpoint }: RunEnd): void {
    const { table, logger, clock } = this.#options
    logger.logInfo(JOB_EVENTS.taskEnded, {
      jobId: run.task.jobId,
      task: formatTaskName(run.task),
      run: run.number,
      target: run.targetId,
      outcome,
      basis,
      afterMs: Number.isFinite(run.sentAtMs) ? Math.round(clock.readMonotonicMs() - run.sentAtMs) : undefined
    })
    this.#options.metrics.incrementCounter(JOB_METRICS.runsEnded, 1, { outcome })
    const progress = table.find(run.task.jobId)
    const step = progress?.findStep(run.task.occurrence, run.task.step)
    const { index } = run.task
    if (progress === undefined || step?.hasTask(index) !== true) return
    step.removeRun(index, run)
    if (checkpoint !== undefined && checkpoint !== '' && !step.isDone(index)) step.ensureTask(index).checkpoint = checkpoint
    this.#options.markChanged(progress.job.id)
    if (progress.isClosed) return this.#finishIfDone(progress)
    this.#applyOutcome(progress, step, run, outcome)
    this.#options.onStepsDropped(progress.dropCompleted(run.task.occurrence))
  }

  /**
   * Whether a run's task can wait until its start order is surely not carried out any more. A gang can't, since its other members would
   * wait as well, nor can a task that lasts, which is to be at work soon. Of a task that allows copies, another run does no harm.
   */
  isDelayable ({ task: { jobId, occurrence, step: index, index: taskIndex } }: TaskRun): boolean {
    const progress = this.#options.table.find(jobId)
    const step = progress?.findStep(occurrence, index)
    if (progress === undefined || step === undefined || progress.isFinal() || step.isDone(taskIndex)) return false
    return !step.step.isGang && !step.step.isLongRunning && !step.step.allowsCopies
  }

  /**
   * Creates the run for one that a target reports and this owner doesn't know. It is to be stopped, and its task waits for its end. The
   * size of a task whose job has finished isn't known any more: it may use up to the target's capacity.
   */
  createUnknownRun (reported: ReportedRun, targetId: string, targetCapacity = NO_RESOURCES): TaskRun | undefined {
    const key = parseTaskName(reported.taskName)
    if (key === undefined) return undefined
    const run = this.#buildUnknownRun(key, reported.run, targetId, targetCapacity)
    const step = this.#options.table.find(key.jobId)?.findStep(key.occurrence, key.step)
    if (step?.hasTask(key.index) !== true) return run
    const present = step.findTask(key.index)?.run
    // Its start order has not been sent yet, and isn't sent any more.
    if (present?.phase === RUN_PHASES.reserved) this.#options.requestStop(present)
    step.addRun(key.index, run)
    this.#options.markChanged(key.jobId)
    return run
  }

  /** Completes the task of a run that a target reports as done and this owner doesn't know. Failures may have been counted before. */
  onUnknownEnd ({ taskName, run, outcome, checkpoint }: ReportedEnd, targetId: string): void {
    const key = parseTaskName(taskName)
    if (key === undefined || outcome !== RUN_OUTCOMES.done) return
    if (this.#findOpenStep(key) === undefined) return
    this.onRunEnded(this.#buildUnknownRun(key, run, targetId, NO_RESOURCES), { outcome, basis: RUN_END_BASES.reported, checkpoint })
  }

  /** Returns the step of a task that is known and not done. */
  #findOpenStep ({ jobId, occurrence, step: stepIndex, index }: TaskKey): StepProgress | undefined {
    const step = this.#options.table.find(jobId)?.findStep(occurrence, stepIndex)
    return step?.hasTask(index) === true && !step.isDone(index) ? step : undefined
  }

  #buildUnknownRun (task: TaskKey, number: number, targetId: string, largestSize: Resources): TaskRun {
    const nowMs = this.#options.clock.readMonotonicMs()
    // The occurrence may have been dropped as completed, but the run still uses its capacity.
    const job = this.#options.table.find(task.jobId)?.job
    const jobStep = job?.steps[task.step]
    const size = jobStep === undefined ? largestSize : computeReservedResources(jobStep.size, jobStep.usesIdleCapacity)
    return {
      task,
      number,
      targetId,
      size,
      charge: job === undefined || jobStep === undefined ? undefined : createCharge(job, jobStep),
      phase: RUN_PHASES.unsettled,
      sentAtMs: nowMs,
      expectedEndMs: nowMs,
      confirmedAt: undefined,
      isStopWanted: true,
      stopAcknowledgedAt: undefined,
      percent: 0,
      percentChangedAtMs: nowMs
    }
  }

  /** Makes long-running tasks pending again whose restart was delayed until now. */
  resumeTasks (): void {
    this.#backoff.resumeTasks()
  }

  /**
   * Stops runs that make no progress, so that their tasks run elsewhere. `seenAtMs` is the monotonic time of their target's last
   * report. Progress made since is unknown, for example while the store is unavailable and no target is polled.
   */
  stopStalledRuns (runs: Iterable<TaskRun>, seenAtMs: number): void {
    const nowMs = this.#options.clock.readMonotonicMs()
    for (const run of runs) {
      if (run.phase !== RUN_PHASES.running || run.isStopWanted || run.percent >= 100) continue
      if (seenAtMs - Math.max(run.percentChangedAtMs, run.sentAtMs) < STALL_TIMEOUT_MS) continue
      const step = this.#options.table.find(run.task.jobId)?.findStep(run.task.occurrence, run.task.step)
      if (step === undefined || nowMs - run.sentAtMs < step.step.estimatedMs * STALL_ESTIMATE_FACTOR) continue
      this.#options.onStalled(run)
      this.#options.requestStop(run)
    }
  }

  /** Evicts runs that won't finish before their target leaves, so that their tasks start elsewhere now. Long-running ones always are. */
  evictRuns (runs: Iterable<TaskRun>, leavesAtMs: number | undefined): void {
    if (leavesAtMs === undefined) return
    const nowMs = this.#options.clock.readMonotonicMs()
    for (const run of runs) {
      if (run.phase !== RUN_PHASES.running || run.isStopWanted) continue
      const step = this.#options.table.find(run.task.jobId)?.findStep(run.task.occurrence, run.task.step)
      if (step === undefined) continue
      const { isLongRunning, estimatedMs } = step.step
      if (!isLongRunning && !shouldEvictRun(run, estimatedMs, leavesAtMs, nowMs)) continue
      this.#options.logger.logInfo(JOB_EVENTS.taskMoved, {
        jobId: run.task.jobId,
        task: formatTaskName(run.task),
        run: run.number,
        target: run.targetId,
        percent: run.percent,
        leavesInMs: Math.round(leavesAtMs - nowMs)
      })
      this.#options.requestStop(run)
    }
  }

  #applyOutcome (progress: JobProgress, step: StepProgress, run: TaskRun, outcome: RunOutcome): void {
    const { isLongRunning, isGang } = step.step
    const { index } = run.task
    if (outcome === RUN_OUTCOMES.done && !isLongRunning) {
      step.markDone(index)
      this.#stopOthers(step, run)
      this.#options.table.updateReady(progress, run.task.occurrence, this.#options.clock.readMonotonicMs())
    } else if (outcome === RUN_OUTCOMES.failed && !isLongRunning && !step.isDone(index)) {
      this.#countFailure(progress, step, run)
    } else if (outcome === RUN_OUTCOMES.failed && isLongRunning) {
      step.failedTargets.record(run.targetId, this.#options.clock.readMonotonicMs())
      this.#backoff.pauseTask(step, index, run)
    }
    if (isGang && outcome !== RUN_OUTCOMES.done && outcome !== RUN_OUTCOMES.failed) this.#stopGang(step, run)
    if (progress.isFinal()) this.#closeJob(progress)
    this.#options.requestRound()
  }

  #countFailure (progress: JobProgress, step: StepProgress, run: TaskRun): void {
    const nowMs = this.#options.clock.readMonotonicMs()
    const task = step.ensureTask(run.task.index)
    task.failures++
    step.failedTargets.record(run.targetId, nowMs)
    if (step.step.isGang && run.number > step.lastFailedRun) {
      step.lastFailedRun = run.number
      step.gangFailures++
    }
    const failures = step.step.isGang ? step.gangFailures : task.failures
    if (failures >= progress.job.terms.maximumAttempts) progress.hasFailed = true
    if (failures >= BACKOFF_AFTER_FAILURES) step.notBeforeMs = nowMs + BACKOFF_STEP_MS * (failures - 1)
  }

  /** Stops the runs of a done task, or of a done gang, that are no members of the run that did the work. */
  #stopOthers (step: StepProgress, done: TaskRun): void {
    for (const member of step.step.isGang ? [...step.listTasks()] : [step.findTask(done.task.index)]) {
      for (const run of listRuns(member)) if (run.number !== done.number) this.#options.requestStop(run)
    }
  }

  /** Stops the other runs of a gang, which can't continue without a member. */
  #stopGang (step: StepProgress, ended: TaskRun): void {
    for (const { run } of [...step.listTasks()]) if (run !== undefined && run.number === ended.number) this.#options.requestStop(run)
  }

  #closeJob (progress: JobProgress): void {
    if (progress.isClosed) return
    progress.isClosed = true
    const { id } = progress.job
    const state = progress.readState()
    this.#options.table.withdraw(progress)
    if (state !== 'completed') for (const run of [...progress.listRuns()]) this.#options.requestStop(run)
    this.#options.markChanged(id)
    this.#options.runWhenJobStored(id, () => {
      progress.storedState = state
      const durationMs = this.#options.clock.readMonotonicMs() - progress.acceptedAtMs
      this.#options.metrics.recordTiming(JOB_METRICS.jobDuration, durationMs, { queue: progress.job.terms.queue, state })
      this.#options.logger.logInfo(JOB_EVENTS.jobEnded, {
        jobId: id,
        state,
        afterMs: Math.round(durationMs),
        objectiveMs: Math.round(progress.objectiveMs - progress.acceptedAtMs)
      })
      this.#finishIfDone(progress)
    })
  }

  #finishIfDone (progress: JobProgress): void {
    if (progress.storedState === undefined || progress.hasRuns()) return
    const state = progress.storedState
    this.#options.runWhenJobStored(progress.job.id, () => {
      this.#options.table.finish(progress, state, this.#options.clock.readMonotonicMs())
      this.#options.onFinished(progress)
    })
  }
}
