import type { Result } from '@hibiscusledge/runtime/result.js'
import type { IncarnationTracker } from './incarnation-tracker.js'
import { JOB_EVENTS } from './job-events.js'
import type { MessageOrder } from './message-order.js'
import type { SessionContext } from './session-context.js'
import type { SessionRuns } from './session-runs.js'
import type { TargetIncarnation } from './target-incarnation.js'
import { ORDER_ERROR_CODES, type OrderAnswer, type OrderError, type TargetDescription } from './target-gateway.js'
import type { TargetFence } from './target-fence.js'
import type { TargetHealth } from './target-health.js'
import { formatTaskName, RUN_END_BASES, RUN_OUTCOMES, RUN_PHASES, type RunEnd, type TaskRun } from './task-run.js'

/**
 * Start orders to one target that may be without an answer. More would wait for a connection until they count as not sent, and polls
 * with them, which extend the leases.
 */
const MAXIMUM_OPEN_STARTS = 24

/** Contents of a start order besides the task name and the run number. */
export interface StartParameters {
  readonly specification: string
  readonly checkpoint: string
  readonly ticket?: string | undefined
}

/** End of a run whose start order was never sent. */
const NOT_SENT: RunEnd = { outcome: RUN_OUTCOMES.notStarted, basis: RUN_END_BASES.notSent }

interface StartResult {
  readonly result: Result<OrderAnswer, OrderError>
  readonly incarnation: TargetIncarnation
  readonly fencingToken: number
}

interface WaitingStart { readonly run: TaskRun, readonly parameters: StartParameters }

/** State and operations of a target session that its order sender uses. */
export interface OrderSession {
  readonly runs: SessionRuns
  readonly messages: MessageOrder
  readonly fence: TargetFence
  readonly incarnations: IncarnationTracker
  readonly health: TargetHealth
  readDescription (): TargetDescription
  isStopped (): boolean
  /** Whether a placed run may still be started on the target. */
  isOpenForStarts (): boolean
  /** Records that the target may hold a lease of this length from now on. */
  extendLease (nowMs: number, leaseMs: number): void
  pollNow (): void
  endRun (run: TaskRun, end: RunEnd): void
}

/** Sends the orders to start and stop runs on one target, and handles the answers. */
export class RunOrderSender {
  readonly #context: SessionContext
  readonly #session: OrderSession
  #openStarts = 0
  /** Starts that wait for the answers to others, oldest first. */
  #waitingStarts: WaitingStart[] = []

  constructor (context: SessionContext, session: OrderSession) {
    this.#context = context
    this.#session = session
  }

  /** Sends the start order of a reserved run, when not too many are without an answer. */
  async startRun (run: TaskRun, parameters: StartParameters): Promise<void> {
    if (this.#openStarts < MAXIMUM_OPEN_STARTS) return await this.#startNow(run, parameters)
    this.#waitingStarts.push({ run, parameters })
  }

  async #startNow (run: TaskRun, parameters: StartParameters): Promise<void> {
    const { clock, gateway, timings } = this.#context
    const session = this.#session
    if (session.isStopped() || !session.runs.has(run)) return
    const nowMs = clock.readMonotonicMs()
    const incarnation = session.incarnations.readCurrent()
    const targetNowMs = incarnation?.clock.estimate(nowMs)
    const isAllowed = this.#context.isAuthorized() && session.isOpenForStarts() && !run.isStopWanted && this.#isForPresent(run)
    if (incarnation === undefined || targetNowMs === undefined || !isAllowed) {
      return session.endRun(run, NOT_SENT)
    }
    run.phase = RUN_PHASES.sent
    run.sentAtMs = nowMs
    session.extendLease(nowMs, timings.startValidityMs)
    const fencingToken = session.fence.readToken()
    this.#openStarts++
    const result = await gateway.startRun(session.readDescription(), {
      taskName: formatTaskName(run.task),
      run: run.number,
      specification: parameters.specification,
      validUntilMs: Math.floor(targetNowMs + timings.startValidityMs),
      fencingToken,
      checkpoint: parameters.checkpoint,
      ticket: parameters.ticket
    })
    this.#openStarts--
    if (!session.isStopped() && session.runs.has(run)) this.#onStartResult(run, parameters, { result, incarnation, fencingToken })
    this.#startWaiting()
  }

  /** Sends the starts that wait, as far as there is room. One whose run has been given up sends nothing. */
  #startWaiting (): void {
    while (this.#openStarts < MAXIMUM_OPEN_STARTS) {
      const waiting = this.#waitingStarts.shift()
      if (waiting === undefined) return
      void this.#startNow(waiting.run, waiting.parameters)
    }
  }

  /** Gives up the starts that wait, so that their tasks run on targets that answer. */
  #dropWaiting (): void {
    const abandoned = this.#waitingStarts
    this.#waitingStarts = []
    for (const { run } of abandoned) if (this.#session.runs.has(run)) this.#session.endRun(run, NOT_SENT)
  }

  /** Whether the target is still listed as the incarnation that the run was placed on. A later one may have other labels and less room. */
  #isForPresent ({ targetStartedAtMs }: TaskRun): boolean {
    return targetStartedAtMs === undefined || this.#session.readDescription().startedAtMs === targetStartedAtMs
  }

  /** Sends the stop order of a run, and repeats it until the target has answered. */
  requestStop (run: TaskRun): void {
    if (run.isStopWanted) return
    run.isStopWanted = true
    if (run.phase === RUN_PHASES.reserved) return
    const { runs, isStopped } = this.#session
    this.#context.orders.run(() => { if (!isStopped() && runs.has(run)) void this.sendStop(run) })
  }

  async sendStop (run: TaskRun): Promise<void> {
    const { gateway, clock, timings, logger } = this.#context
    const session = this.#session
    const fencingToken = session.fence.readToken()
    const target = session.readDescription()
    const incarnation = session.incarnations.readCurrent()
    logger.logInfo(JOB_EVENTS.taskStopRequested, {
      jobId: run.task.jobId, task: formatTaskName(run.task), run: run.number, target: target.id
    })
    const result = await gateway.stopRun(target, { taskName: formatTaskName(run.task), run: run.number, fencingToken })
    if (session.isStopped() || !session.runs.has(run)) return
    if (result.ok) {
      // An earlier incarnation may have answered.
      if (session.incarnations.readCurrent() !== incarnation) return await this.sendStop(run)
      run.stopAcknowledgedAt = session.messages.advance()
      if (run.phase === RUN_PHASES.unsettled) session.pollNow()
      return
    }
    if (this.#isOvertaken(result.val, fencingToken)) return await this.sendStop(run)
    if (result.val.code === ORDER_ERROR_CODES.fenced) return this.#context.onFenced()
    clock.startTimer(timings.stopRetryMs, () => {
      if (!session.isStopped() && run.stopAcknowledgedAt === undefined && session.runs.has(run)) void this.sendStop(run)
    })
  }

  /** Sends the stop orders again that an earlier incarnation of the target has received, since the present one doesn't know them. */
  sendStopsAgain (): void {
    for (const run of this.#session.runs.copy()) {
      if (run.stopAcknowledgedAt === undefined) continue
      run.stopAcknowledgedAt = undefined
      void this.sendStop(run)
    }
  }

  /** Records that the run is on the target. */
  markRunning (run: TaskRun): void {
    if (run.phase === RUN_PHASES.running) return
    this.#session.runs.resume(run)
    run.phase = RUN_PHASES.running
    run.confirmedAt = this.#session.messages.advance()
    this.#context.onRunStarted(run)
  }

  #onStartResult (run: TaskRun, parameters: StartParameters, { result, incarnation, fencingToken }: StartResult): void {
    if (result.ok) this.#onStartAnswered(run, result.val.targetClockMs, incarnation)
    else if (this.#isOvertaken(result.val, fencingToken)) void this.startRun(run, parameters)
    else this.#onStartFailed(run, result.val, fencingToken)
  }

  #onStartAnswered (run: TaskRun, targetClockMs: number, incarnation: TargetIncarnation): void {
    this.markRunning(run)
    this.#session.incarnations.recordReading(targetClockMs, run.sentAtMs, this.#context.clock.readMonotonicMs(), incarnation)
    if (run.isStopWanted) void this.sendStop(run)
  }

  /** Whether the target refused an order only since it had carried out a later one with a higher token of this owner. */
  #isOvertaken (error: OrderError, fencingToken: number): boolean {
    return error.code === ORDER_ERROR_CODES.fenced && this.#session.fence.hasOvertaken(fencingToken)
  }

  #onStartFailed (run: TaskRun, error: OrderError, fencingToken: number): void {
    const { logger, clock } = this.#context
    const session = this.#session
    const target = session.readDescription().id
    if (error.code === ORDER_ERROR_CODES.noAnswer || error.code === ORDER_ERROR_CODES.unhealthy) this.#dropWaiting()
    const fields = { jobId: run.task.jobId, task: formatTaskName(run.task), run: run.number, target, code: error.code }
    if (error.code === ORDER_ERROR_CODES.noAnswer) {
      logger.logWarning(JOB_EVENTS.startUnanswered, { ...fields, message: error.message })
      this.#context.onAnswerLost(target)
      run.phase = RUN_PHASES.unsettled
      session.fence.advanceBeyond(fencingToken)
      // The poll shows whether the run was started. If it wasn't, the session sends a stop order.
      session.pollNow()
      return
    }
    logger.logWarning(JOB_EVENTS.startRefused, fields)
    if (error.code === ORDER_ERROR_CODES.unhealthy) session.health.recordRefusal(clock.readMonotonicMs())
    if (error.code === ORDER_ERROR_CODES.otherIncarnation && session.incarnations.suspectRestart()) session.pollNow()
    if (error.code === ORDER_ERROR_CODES.fenced) this.#context.onFenced()
    if (error.code === ORDER_ERROR_CODES.invalidTicket) this.#context.onTicketRefused(run)
    session.endRun(run, { outcome: RUN_OUTCOMES.notStarted, basis: RUN_END_BASES.refused })
  }
}
