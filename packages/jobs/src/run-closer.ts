import type { AbandonedOrders } from './abandoned-orders.js'
import { JOB_EVENTS } from './job-events.js'
import type { SessionContext } from './session-context.js'
import type { SessionRuns } from './session-runs.js'
import type { TargetHealth } from './target-health.js'
import { formatTaskName, isGivenUp, RUN_END_BASES, RUN_OUTCOMES, RUN_PHASES, type RunEnd, type TaskRun } from './task-run.js'

/** State of a target session that the end of a run changes. */
export interface ClosedSession {
  readonly targetId: string
  readonly runs: SessionRuns
  readonly health: TargetHealth
  readonly abandonedOrders: AbandonedOrders
}

/** Ends the runs of a target session, and delays the end of those that a later incarnation of the target may still start. */
export class RunCloser {
  readonly #context: SessionContext
  readonly #session: ClosedSession

  constructor (context: SessionContext, session: ClosedSession) {
    this.#context = context
    this.#session = session
  }

  /** Ends a run and tells the owner, unless it has ended before. */
  endRun (run: TaskRun, end: RunEnd): void {
    const { runs, abandonedOrders } = this.#session
    if (!runs.remove(run)) return
    const { outcome } = end
    if (isGivenUp(end)) runs.rememberGivenUp(run)
    if (isGivenUp(end) && run.phase === RUN_PHASES.unsettled) abandonedOrders.add(run, outcome === RUN_OUTCOMES.notStarted)
    if (outcome === RUN_OUTCOMES.done || outcome === RUN_OUTCOMES.failed) this.#recordHealth(run, outcome === RUN_OUTCOMES.failed)
    this.#context.onRunEnded(run, end)
    this.#context.onCapacityChanged()
  }

  /** Ends a run that the target doesn't have, or delays that while its task waits for a start order that may still be carried out. */
  dropRun (run: TaskRun, end: RunEnd): void {
    if (!this.#isAwaited(run)) return this.endRun(run, end)
    if (run.phase === RUN_PHASES.delayed) return
    const { runs, targetId } = this.#session
    runs.suspend(run)
    this.#context.logger.logInfo(JOB_EVENTS.startDelayed, {
      jobId: run.task.jobId, task: formatTaskName(run.task), run: run.number, target: targetId
    })
    this.#context.onCapacityChanged()
  }

  /** Gives up all runs, since every lease of the target has expired. Returns how many were not given up before. */
  dropAll (): number {
    const lapsed = this.#session.runs.copy().filter((run) => run.phase !== RUN_PHASES.delayed || !this.#isAwaited(run))
    for (const run of lapsed) this.dropRun(run, { outcome: RUN_OUTCOMES.lapsed, basis: RUN_END_BASES.leaseExpired })
    return lapsed.length
  }

  #isAwaited (run: TaskRun): boolean {
    const mayStart = run.phase === RUN_PHASES.unsettled || run.phase === RUN_PHASES.delayed
    return mayStart && this.#context.shouldAwaitLateStart(run)
  }

  #recordHealth (run: TaskRun, hasFailed: boolean): void {
    const { health, targetId } = this.#session
    const { clock, logger } = this.#context
    if (!hasFailed) this.#context.recordSuccess(run)
    else if (!this.#context.recordFailure(run)) return
    const isNowSuspected = health.recordEnd(clock.readMonotonicMs(), run.task.jobId, hasFailed)
    if (isNowSuspected) logger.logWarning(JOB_EVENTS.targetSuspected, { target: targetId })
  }
}
