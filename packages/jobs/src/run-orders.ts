import { JOB_EVENTS } from './job-events.js'
import type { SessionHost } from './session-host.js'
import type { SessionRuns } from './session-runs.js'
import type { TargetClock } from './target-clock.js'
import { ORDER_ERROR_CODES, type OrderError, type TargetDescription } from './target-gateway.js'
import type { TargetHealth } from './target-health.js'
import { formatTaskName, RUN_OUTCOMES, RUN_PHASES, type RunOutcome, type TaskRun } from './task-run.js'

/** What a start carries besides the names of its task and run. */
export interface StartTerms {
  readonly specification: string
  readonly checkpoint: string
  readonly ticket?: string | undefined
}

/** What the orders need of the session that they belong to. */
export interface RunOrdersSession {
  readonly runs: SessionRuns
  readonly clock: TargetClock
  readonly health: TargetHealth
  readDescription (): TargetDescription
  isStopped (): boolean
  /** The target may grant a lease of this length from now on. */
  extendLeaseBound (nowMs: number, leaseMs: number): void
  requestLook (): void
  settle (run: TaskRun, outcome: RunOutcome, checkpoint: string): void
}

/** Gives the orders to start and stop runs on one target, and takes their answers. */
export class RunOrders {
  readonly #host: SessionHost
  readonly #session: RunOrdersSession

  constructor (host: SessionHost, session: RunOrdersSession) {
    this.#host = host
    this.#session = session
  }

  /** Sends the order to start a reserved run. */
  async startRun (run: TaskRun, terms: StartTerms): Promise<void> {
    const { clock, gateway, timings, fencingToken } = this.#host
    const session = this.#session
    if (session.isStopped() || !session.runs.has(run)) return
    const nowMs = clock.readMonotonicMs()
    const targetNowMs = session.clock.estimate(nowMs)
    const isAllowed = this.#host.isAuthorized() && !run.isStopWanted
    if (targetNowMs === undefined || !isAllowed) return session.settle(run, RUN_OUTCOMES.notStarted, '')
    run.phase = RUN_PHASES.sent
    run.sentAtMs = nowMs
    session.extendLeaseBound(nowMs, timings.startValidityMs)
    const result = await gateway.startRun(session.readDescription(), {
      taskName: formatTaskName(run.task),
      run: run.number,
      specification: terms.specification,
      validUntilMs: Math.floor(targetNowMs + timings.startValidityMs),
      fencingToken,
      checkpoint: terms.checkpoint,
      ticket: terms.ticket
    })
    if (session.isStopped() || !session.runs.has(run)) return
    if (result.ok) return this.#onStartAnswered(run, result.val.targetClockMs)
    this.#onStartFailed(run, result.val)
  }

  /** Asks the target to stop a run, until it answers. */
  requestStop (run: TaskRun): void {
    if (run.isStopWanted) return
    run.isStopWanted = true
    if (run.phase === RUN_PHASES.reserved) return
    void this.sendStop(run)
  }

  async sendStop (run: TaskRun): Promise<void> {
    const { gateway, fencingToken, clock, timings, logger } = this.#host
    const session = this.#session
    const target = session.readDescription()
    logger.logInfo(JOB_EVENTS.taskStopRequested, { jobId: run.task.jobId, task: formatTaskName(run.task), run: run.number, target: target.id })
    const result = await gateway.stopRun(target, { taskName: formatTaskName(run.task), run: run.number, fencingToken })
    if (session.isStopped() || !session.runs.has(run)) return
    if (result.ok) {
      run.isStopAcknowledged = true
      if (run.phase === RUN_PHASES.unsettled) session.requestLook()
      return
    }
    if (result.val.code === ORDER_ERROR_CODES.fenced) return this.#host.onFenced()
    clock.startTimer(timings.stopRetryMs, () => {
      if (!session.isStopped() && !run.isStopAcknowledged && session.runs.has(run)) void this.sendStop(run)
    })
  }

  markRunning (run: TaskRun): void {
    if (run.phase === RUN_PHASES.running) return
    run.phase = RUN_PHASES.running
    this.#host.onRunStarted(run)
  }

  #onStartAnswered (run: TaskRun, targetClockMs: number): void {
    this.#session.clock.update(targetClockMs, this.#host.clock.readMonotonicMs())
    this.markRunning(run)
    if (run.isStopWanted) void this.sendStop(run)
  }

  #onStartFailed (run: TaskRun, error: OrderError): void {
    const { logger, clock } = this.#host
    const session = this.#session
    const target = session.readDescription().id
    const fields = { jobId: run.task.jobId, task: formatTaskName(run.task), run: run.number, target, code: error.code }
    if (error.code === ORDER_ERROR_CODES.noAnswer) {
      logger.logWarning(JOB_EVENTS.startUnanswered, { ...fields, message: error.message })
      this.#host.onAnswerLost(target)
      run.phase = RUN_PHASES.unsettled
      // The look tells whether the run is there; if not, it sends the order to stop.
      session.requestLook()
      return
    }
    logger.logWarning(JOB_EVENTS.startRefused, fields)
    if (error.code === ORDER_ERROR_CODES.unhealthy) session.health.recordRefusal(clock.readMonotonicMs())
    if (error.code === ORDER_ERROR_CODES.fenced) this.#host.onFenced()
    if (error.code === ORDER_ERROR_CODES.invalidTicket) this.#host.onTicketRefused(run)
    session.settle(run, RUN_OUTCOMES.notStarted, '')
  }
}
