import { AbandonedOrders } from './abandoned-orders.js'
import { RunEndTracker } from './run-end-tracker.js'
import { JOB_EVENTS } from './job-events.js'
import { PollTimer } from './poll-timer.js'
import { computeEarlierLeaseBoundMs, computeLeaseBoundMs } from './owner-timings.js'
import { RunOrderSender, type StartParameters } from './run-order-sender.js'
import type { SessionContext } from './session-context.js'
import { SessionRuns } from './session-runs.js'
import { TargetClock } from './target-clock.js'
import {
  ORDER_ERROR_CODES, type OrderError, type ReportedEnd, type ReportedRun, type TargetDescription, type TargetReport
} from './target-gateway.js'
import { TargetHealth } from './target-health.js'
import type { CapacityTracker } from './capacity-tracker.js'
import { formatReportedRunKey, formatRunKey, RUN_END_BASES, RUN_OUTCOMES, RUN_PHASES, type RunEnd, type TaskRun } from './task-run.js'

/** The owner's session with one target: sends orders and polls, extends the lease, and tracks the runs and their capacity. */
export class TargetSession {
  readonly health = new TargetHealth()
  #description: TargetDescription
  readonly #context: SessionContext
  readonly #runs: SessionRuns
  readonly #orders: RunOrderSender
  readonly #clock = new TargetClock()
  readonly #abandonedOrders: AbandonedOrders
  readonly #endTracker: RunEndTracker
  readonly #pollTimer: PollTimer
  #startedAtMs: number | undefined
  /** Monotonic time before which a draining target doesn't leave. */
  #leavesAtMs: number | undefined
  #isListed = true
  #hasReported = false
  #isStopped = false
  /** Monotonic time by which every lease granted to this target has surely expired. */
  #leaseExpiryMs: number
  #lastAnswerMs: number
  #failedPolls = 0

  constructor (description: TargetDescription, context: SessionContext) {
    this.#description = description
    this.#context = context
    this.#runs = new SessionRuns(description.capacity)
    this.#orders = new RunOrderSender(context, {
      runs: this.#runs,
      clock: this.#clock,
      health: this.health,
      readDescription: () => this.#description,
      isStopped: () => this.#isStopped,
      extendLeaseExpiry: (nowMs, leaseMs) => this.#extendLeaseExpiry(nowMs, leaseMs),
      pollNow: () => this.pollNow(),
      endRun: (run, end) => this.#endRun(run, end)
    })
    this.#abandonedOrders = new AbandonedOrders(context)
    this.#endTracker = new RunEndTracker(context.timings.rememberedEnds)
    this.#pollTimer = new PollTimer(context.clock, async () => await this.#runScheduledPoll())
    const nowMs = context.clock.readMonotonicMs()
    this.#lastAnswerMs = nowMs
    this.#leaseExpiryMs = nowMs + computeEarlierLeaseBoundMs(context.timings)
  }

  get id (): string { return this.#description.id }

  readDescription (): TargetDescription { return this.#description }

  /** Capacity of the target and what its runs reserve of it. */
  get capacity (): CapacityTracker { return this.#runs.capacity }

  listRuns (): Iterable<TaskRun> { return this.#runs.list() }

  countRuns (): number { return this.#runs.count() }

  /** Whether the target may get tasks: it is active, has answered this owner recently, and is healthy. */
  isUsable (nowMs: number): boolean {
    return this.#hasReported && this.isActive() && this.#abandonedOrders.isEmpty() &&
      nowMs - this.#lastAnswerMs < this.#context.timings.unresponsiveMs && this.health.shouldReceiveTasks(nowMs, this.#runs.count())
  }

  /** Whether the target is listed and not draining. */
  isActive (): boolean {
    return this.#isListed && !this.#description.isDraining
  }

  /** Returns the monotonic time before which a draining target doesn't leave; undefined when it isn't draining or the time is not known. */
  readLeavesAtMs (): number | undefined {
    return this.#leavesAtMs
  }

  /** Returns the monotonic time of the last report. */
  readLastAnswerMs (): number { return this.#lastAnswerMs }

  /** Whether the target is no longer listed and has no runs left. */
  isObsolete (): boolean {
    return !this.#isListed && this.#runs.count() === 0
  }

  start (): void {
    this.#pollTimer.schedule(0)
  }

  stop (): void {
    this.#isStopped = true
    this.#pollTimer.stop()
  }

  setDescription (description: TargetDescription): void {
    const { isDraining, remainingMs } = description
    if (!isDraining || remainingMs === undefined) this.#leavesAtMs = undefined
    else if (remainingMs !== this.#description.remainingMs) this.#leavesAtMs = this.#context.clock.readMonotonicMs() + remainingMs
    const hasMoved = description.address !== this.#description.address
    this.#description = description
    this.#isListed = true
    this.capacity.setCapacity(description.capacity)
    const hasRestarted = (description.startedAtMs ?? 0) > (this.#startedAtMs ?? Number.POSITIVE_INFINITY)
    if (hasMoved || hasRestarted) this.#pollTimer.schedule(0)
  }

  markUnlisted (): void {
    this.#isListed = false
  }

  /** Tracks a run that is about to be started or that an earlier owner may have started, and reserves its capacity. */
  addRun (run: TaskRun): void {
    this.#runs.add(run)
  }

  /** Sends the start order of a run that was added before. */
  async startRun (run: TaskRun, parameters: StartParameters): Promise<void> {
    await this.#orders.startRun(run, parameters)
  }

  /** Sends the stop order of a run, and repeats it until the target has answered. */
  requestStop (run: TaskRun): void {
    this.#orders.requestStop(run)
  }

  /** Ends all runs as lapsed once every lease granted to the target has surely expired. */
  checkLeaseExpiry (): void {
    const nowMs = this.#context.clock.readMonotonicMs()
    this.#abandonedOrders.prune()
    if (this.#runs.count() === 0 || nowMs < this.#leaseExpiryMs) return
    const silentMs = Math.round(nowMs - this.#lastAnswerMs)
    this.#context.logger.logWarning(JOB_EVENTS.targetLeaseLapsed, { target: this.id, runs: this.#runs.count(), silentMs })
    this.#hasReported = false
    for (const run of this.#runs.copy()) this.#endRun(run, { outcome: RUN_OUTCOMES.lapsed, basis: RUN_END_BASES.leaseExpired })
  }

  /** Polls the target at once; it answers without waiting for a run to end. */
  pollNow (): void {
    void this.#poll(0)
  }

  #endRun (run: TaskRun, end: RunEnd): void {
    if (!this.#runs.remove(run)) return
    const { outcome } = end
    const nowMs = this.#context.clock.readMonotonicMs()
    const mayStillArrive = outcome === RUN_OUTCOMES.lapsed && run.phase === RUN_PHASES.unsettled
    if (mayStillArrive) this.#abandonedOrders.add(run)
    this.#endTracker.rememberEndedRun(formatRunKey(run))
    if (outcome === RUN_OUTCOMES.done || outcome === RUN_OUTCOMES.failed) {
      const isNowSuspected = this.health.recordEnd(nowMs, run.task.jobId, outcome === RUN_OUTCOMES.failed)
      if (isNowSuspected) this.#context.logger.logWarning(JOB_EVENTS.targetSuspected, { target: this.id })
    }
    this.#context.onRunEnded(run, end)
    this.#context.onCapacityChanged()
  }

  async #runScheduledPoll (): Promise<void> {
    const { clock, timings, runWhenStored } = this.#context
    const hadEnds = await this.#poll(this.#hasReported ? timings.pollWaitMs : 0)
    if (this.#failedPolls > 0) return this.#pollTimer.schedule(timings.pollRetryMs)
    if (!hadEnds) return this.#pollTimer.schedule(0)
    // The target answers at once while ended runs are unacknowledged, so the next poll waits until they are stored. If that
    // takes long, the poll is sent anyway, since other runs may have ended.
    const notBeforeMs = clock.readMonotonicMs() + timings.pollPauseMs
    this.#pollTimer.schedule(timings.unstoredPollMs)
    runWhenStored(() => this.#pollTimer.schedule(Math.max(0, notBeforeMs - clock.readMonotonicMs())))
  }

  /** Polls the target. Returns whether the report listed ended runs that are not acknowledged yet. */
  async #poll (waitMs: number): Promise<boolean> {
    const { clock, gateway, timings, fencingToken } = this.#context
    const sentAtMs = clock.readMonotonicMs()
    const targetNowMs = this.#clock.estimate(sentAtMs)
    const leaseMs = this.#context.isStoreHealthy() ? timings.leaseMs : timings.maximumLeaseMs
    // An unresponsive target may still receive the poll. Its lease is not extended, since it must expire before the tasks run elsewhere.
    const isExtending = targetNowMs !== undefined && this.#failedPolls === 0 && this.#context.isAuthorized()
    if (isExtending) this.#extendLeaseExpiry(sentAtMs, leaseMs)
    const result = await gateway.fetchReport(this.#description, {
      fencingToken,
      acknowledgedEnd: this.#endTracker.readStoredEnd(),
      leaseUntilMs: isExtending ? Math.floor(targetNowMs + leaseMs) : undefined,
      waitMs
    })
    if (this.#isStopped) return false
    if (result.ok) return this.#applyReport(result.val, sentAtMs)
    this.#onPollFailed(result.val)
    return false
  }

  #extendLeaseExpiry (nowMs: number, leaseMs: number): void {
    this.#leaseExpiryMs = Math.max(this.#leaseExpiryMs, nowMs + computeLeaseBoundMs(leaseMs))
  }

  #onPollFailed (error: OrderError): void {
    const { code, message } = error
    if (code === ORDER_ERROR_CODES.noAnswer) this.#context.onAnswerLost(this.id)
    if (this.#failedPolls++ === 0) this.#context.logger.logWarning(JOB_EVENTS.targetLost, { target: this.id, code, message })
    if (error.code === ORDER_ERROR_CODES.fenced) this.#context.onFenced()
  }

  #applyReport (report: TargetReport, sentAtMs: number): boolean {
    const nowMs = this.#context.clock.readMonotonicMs()
    const isFirst = !this.#hasReported
    if (this.#startedAtMs !== undefined && report.startedAtMs < this.#startedAtMs) return false
    if (this.#startedAtMs !== undefined && report.startedAtMs > this.#startedAtMs) this.#onTargetRestarted(report, sentAtMs)
    this.#startedAtMs = report.startedAtMs
    const hasReturned = isFirst || this.#failedPolls > 0
    if (hasReturned) this.#context.logger.logInfo(JOB_EVENTS.targetReached, { target: this.id, running: report.running.length })
    this.#failedPolls = 0
    this.#hasReported = true
    this.#lastAnswerMs = nowMs
    this.#clock.update(report.targetClockMs, nowMs)
    const newEnds = this.#endTracker.selectNew(report.ended)
    const runningKeys = new Set(report.running.map((reported) => formatReportedRunKey(reported)))
    for (const reported of report.running) this.#applyRunning(reported, nowMs)
    for (const reported of newEnds) this.#applyEnd(reported)
    // A run that is not listed may be among the ends that the target did not report this time.
    if (report.hasMoreEnds !== true) for (const run of this.#runs.copy()) this.#checkUnreported(run, runningKeys, sentAtMs)
    this.#abandonedOrders.stopAll(this.#description)
    if (newEnds.length > 0) this.#endTracker.acknowledge(newEnds, this.#context.runWhenStored)
    if (isFirst) this.#context.onCapacityChanged()
    return report.ended.length > 0
  }

  #applyRunning (reported: ReportedRun, nowMs: number): void {
    const key = formatReportedRunKey(reported)
    if (this.#endTracker.hasEnded(key)) return
    let run = this.#runs.find(key)
    if (run === undefined) {
      run = this.#context.onUnknownRun(reported, this.id)
      if (run === undefined) return
      this.#runs.add(run)
      void this.#orders.sendStop(run)
      return
    }
    this.#orders.markRunning(run)
    if (reported.percent !== run.percent) {
      run.percent = reported.percent
      run.percentChangedAtMs = nowMs
    }
    if (reported.checkpoint !== '') this.#context.onCheckpoint(run, reported.checkpoint)
  }

  #applyEnd (reported: ReportedEnd): void {
    const run = this.#runs.find(formatReportedRunKey(reported))
    if (run === undefined) return
    const hasRun = reported.outcome === RUN_OUTCOMES.done || reported.outcome === RUN_OUTCOMES.failed
    if (hasRun) this.#orders.markRunning(run)
    this.#endRun(run, { outcome: reported.outcome, basis: RUN_END_BASES.reported, checkpoint: reported.checkpoint })
  }

  /** Ends or stops a run that the target reports neither as running nor as ended. */
  #checkUnreported (run: TaskRun, runningKeys: ReadonlySet<string>, sentAtMs: number): void {
    if (runningKeys.has(formatRunKey(run)) || run.phase === RUN_PHASES.reserved || run.sentAtMs >= sentAtMs) return
    if (run.phase === RUN_PHASES.running) {
      // The start was answered before the poll was sent, so the run has ended and the target no longer reports it.
      if (sentAtMs - run.sentAtMs <= this.#context.timings.orderTimeoutMs) return
      return this.#endRun(run, { outcome: RUN_OUTCOMES.lapsed, basis: RUN_END_BASES.unlisted })
    }
    if (run.phase !== RUN_PHASES.unsettled) return
    const isFromEarlierOwner = run.sentAtMs === Number.NEGATIVE_INFINITY
    // The target has seen this owner's fencing token, so it refuses an order of an earlier owner that is still in transit.
    if (!isFromEarlierOwner && !run.isStopAcknowledged) return this.requestStop(run)
    this.#endRun(run, { outcome: RUN_OUTCOMES.notStarted, basis: RUN_END_BASES.unlisted })
  }

  /** Handles a restart: the target has lost the fencing token and all earlier orders, and has run only what it reports. */
  #onTargetRestarted ({ startedAtMs, targetClockMs, running, ended }: TargetReport, sentAtMs: number): void {
    this.#context.logger.logWarning(JOB_EVENTS.targetRestarted, {
      target: this.id,
      runs: this.#runs.count(),
      previousStartedAtMs: this.#startedAtMs,
      startedAtMs,
      targetClockMs: Math.round(targetClockMs),
      pollAgeMs: Math.round(this.#context.clock.readMonotonicMs() - sentAtMs)
    })
    this.#endTracker.reset()
    this.#clock.reset()
    const reportedKeys = new Set([...running, ...ended].map((reported) => formatReportedRunKey(reported)))
    for (const run of this.#runs.copy()) {
      if (reportedKeys.has(formatRunKey(run))) continue
      const mayStillArrive = run.phase === RUN_PHASES.sent || run.phase === RUN_PHASES.unsettled
      if (run.phase === RUN_PHASES.reserved) continue
      if (!mayStillArrive || run.sentAtMs === Number.NEGATIVE_INFINITY) {
        this.#endRun(run, { outcome: RUN_OUTCOMES.lapsed, basis: RUN_END_BASES.restarted })
        continue
      }
      // A start order sent to the earlier incarnation may still reach this one, which would accept it.
      run.phase = RUN_PHASES.unsettled
      run.isStopAcknowledged = false
      run.isStopWanted = true
      void this.#orders.sendStop(run)
    }
  }
}
