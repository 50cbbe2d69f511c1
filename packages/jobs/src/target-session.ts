import { EarlierOrders } from './earlier-orders.js'
import { EndAcknowledgement } from './end-acknowledgement.js'
import { JOB_EVENTS } from './job-events.js'
import { LookTimer } from './look-timer.js'
import { computeEarlierLeaseBoundMs, computeLeaseBoundMs } from './owner-timings.js'
import { RunOrders, type StartTerms } from './run-orders.js'
import type { SessionHost } from './session-host.js'
import { SessionRuns } from './session-runs.js'
import { TargetClock } from './target-clock.js'
import { ORDER_ERROR_CODES, type EndRow, type OrderError, type RunningRow, type TargetDescription, type TargetReport } from './target-gateway.js'
import { TargetHealth } from './target-health.js'
import type { CapacityTracker } from './capacity-tracker.js'
import { formatRowKey, formatRunKey, RUN_OUTCOMES, RUN_PHASES, type RunOutcome, type TaskRun } from './task-run.js'

/** The owner's dealings with one target: orders, looks, the lease, and the room that runs hold there. */
export class TargetSession {
  readonly health = new TargetHealth()
  #description: TargetDescription
  readonly #host: SessionHost
  readonly #runs: SessionRuns
  readonly #orders: RunOrders
  readonly #clock = new TargetClock()
  readonly #earlierOrders: EarlierOrders
  readonly #ends: EndAcknowledgement
  readonly #lookTimer: LookTimer
  #startedAtMs: number | undefined
  /** Monotonic time until which a draining target stays at least. */
  #leavesAtMs: number | undefined
  #isListed = true
  #isKnown = false
  #isStopped = false
  /** Monotonic time by which every lease given to this target has surely run out. */
  #leaseBoundMs: number
  #lastAnswerMs: number
  #failedLooks = 0

  constructor (description: TargetDescription, host: SessionHost) {
    this.#description = description
    this.#host = host
    this.#runs = new SessionRuns(description.capacity)
    this.#orders = new RunOrders(host, {
      runs: this.#runs,
      clock: this.#clock,
      health: this.health,
      readDescription: () => this.#description,
      isStopped: () => this.#isStopped,
      extendLeaseBound: (nowMs, leaseMs) => this.#extendLeaseBound(nowMs, leaseMs),
      requestLook: () => this.requestLook(),
      settle: (run, outcome, checkpoint) => this.#settle(run, outcome, checkpoint)
    })
    this.#earlierOrders = new EarlierOrders(host)
    this.#ends = new EndAcknowledgement(host.timings.rememberedEnds)
    this.#lookTimer = new LookTimer(host.clock, async () => await this.#inspectInTurn())
    const nowMs = host.clock.readMonotonicMs()
    this.#lastAnswerMs = nowMs
    this.#leaseBoundMs = nowMs + computeEarlierLeaseBoundMs(host.timings)
  }

  get id (): string { return this.#description.id }

  readDescription (): TargetDescription { return this.#description }

  /** Room for tasks on the target. */
  get room (): CapacityTracker { return this.#runs.room }

  listRuns (): Iterable<TaskRun> { return this.#runs.list() }

  countRuns (): number { return this.#runs.count() }

  /** Whether the target may get work: it has answered this owner lately, stays, and is sound. */
  isUsable (nowMs: number): boolean {
    return this.#isKnown && this.isStaying() && this.#earlierOrders.isEmpty() &&
      nowMs - this.#lastAnswerMs < this.#host.timings.silenceMs && this.health.shouldTakeWork(nowMs, this.#runs.count())
  }

  /** Whether the target is listed and not about to leave. */
  isStaying (): boolean {
    return this.#isListed && !this.#description.isDraining
  }

  /** Monotonic time until which the target stays at least; undefined when it isn't about to leave or doesn't tell. */
  readLeavesAtMs (): number | undefined {
    return this.#leavesAtMs
  }

  /** Monotonic time of the last report. */
  readLastAnswerMs (): number { return this.#lastAnswerMs }

  /** Whether nothing is left to follow here. */
  isObsolete (): boolean {
    return !this.#isListed && this.#runs.count() === 0
  }

  start (): void {
    this.#lookTimer.schedule(0)
  }

  stop (): void {
    this.#isStopped = true
    this.#lookTimer.stop()
  }

  setDescription (description: TargetDescription): void {
    const { isDraining, remainingMs } = description
    if (!isDraining || remainingMs === undefined) this.#leavesAtMs = undefined
    else if (remainingMs !== this.#description.remainingMs) this.#leavesAtMs = this.#host.clock.readMonotonicMs() + remainingMs
    const hasMoved = description.address !== this.#description.address
    this.#description = description
    this.#isListed = true
    this.room.setCapacity(description.capacity)
    const isNewLife = (description.startedAtMs ?? 0) > (this.#startedAtMs ?? Number.POSITIVE_INFINITY)
    if (hasMoved || isNewLife) this.#lookTimer.schedule(0)
  }

  markUnlisted (): void {
    this.#isListed = false
  }

  /** Takes room for a run that is about to be started, or that an earlier owner may have started. */
  addRun (run: TaskRun): void {
    this.#runs.add(run)
  }

  /** Sends the order to start a run that was added. */
  async startRun (run: TaskRun, terms: StartTerms): Promise<void> {
    await this.#orders.startRun(run, terms)
  }

  /** Asks the target to stop a run, until it answers. */
  requestStop (run: TaskRun): void {
    this.#orders.requestStop(run)
  }

  /** Gives up runs whose lease has surely run out, and stops those that hang. */
  checkLapse (): void {
    const nowMs = this.#host.clock.readMonotonicMs()
    this.#earlierOrders.prune()
    if (this.#runs.count() === 0 || nowMs < this.#leaseBoundMs) return
    const silentMs = Math.round(nowMs - this.#lastAnswerMs)
    this.#host.logger.logWarning(JOB_EVENTS.targetLeaseLapsed, { target: this.id, runs: this.#runs.count(), silentMs })
    this.#isKnown = false
    for (const run of this.#runs.copy()) this.#settle(run, RUN_OUTCOMES.lapsed, '')
  }

  /** Looks at the target soon, without waiting for an end. */
  requestLook (): void {
    void this.#inspect(0)
  }

  #settle (run: TaskRun, outcome: RunOutcome, checkpoint: string): void {
    if (!this.#runs.remove(run)) return
    const nowMs = this.#host.clock.readMonotonicMs()
    const mayStillArrive = outcome === RUN_OUTCOMES.lapsed && run.phase === RUN_PHASES.unsettled
    if (mayStillArrive) this.#earlierOrders.add(run)
    this.#ends.rememberRun(formatRunKey(run))
    if (outcome === RUN_OUTCOMES.done || outcome === RUN_OUTCOMES.failed) {
      const isNowSuspected = this.health.recordEnd(nowMs, run.task.jobId, outcome === RUN_OUTCOMES.failed)
      if (isNowSuspected) this.#host.logger.logWarning(JOB_EVENTS.targetSuspected, { target: this.id })
    }
    this.#host.onRunEnded(run, outcome, checkpoint)
    this.#host.onRoomChanged()
  }

  async #inspectInTurn (): Promise<void> {
    const { clock, timings, runWhenStored } = this.#host
    const hadEnds = await this.#inspect(this.#isKnown ? timings.lookWaitMs : 0)
    if (this.#failedLooks > 0) return this.#lookTimer.schedule(timings.lookRetryMs)
    if (!hadEnds) return this.#lookTimer.schedule(0)
    // The target answers at once while ends are unacknowledged, so the next look waits until they are stored. When that
    // takes long, it goes ahead, since other runs may have ended.
    const notBeforeMs = clock.readMonotonicMs() + timings.lookPauseMs
    this.#lookTimer.schedule(timings.unstoredLookMs)
    runWhenStored(() => this.#lookTimer.schedule(Math.max(0, notBeforeMs - clock.readMonotonicMs())))
  }

  /** Tells whether the report listed ends that are not acknowledged yet. */
  async #inspect (waitMs: number): Promise<boolean> {
    const { clock, gateway, timings, fencingToken } = this.#host
    const sentAtMs = clock.readMonotonicMs()
    const targetNowMs = this.#clock.estimate(sentAtMs)
    const leaseMs = this.#host.isStoreHealthy() ? timings.leaseMs : timings.maximumLeaseMs
    // A target that doesn't answer may still get the look: its lease must run out before its tasks run elsewhere.
    const isExtending = targetNowMs !== undefined && this.#failedLooks === 0 && this.#host.isAuthorized()
    if (isExtending) this.#extendLeaseBound(sentAtMs, leaseMs)
    const result = await gateway.fetchReport(this.#description, {
      fencingToken,
      acknowledgedEnd: this.#ends.readStored(),
      leaseUntilMs: isExtending ? Math.floor(targetNowMs + leaseMs) : undefined,
      waitMs
    })
    if (this.#isStopped) return false
    if (result.ok) return this.#applyReport(result.val, sentAtMs)
    this.#onLookFailed(result.val)
    return false
  }

  #extendLeaseBound (nowMs: number, leaseMs: number): void {
    this.#leaseBoundMs = Math.max(this.#leaseBoundMs, nowMs + computeLeaseBoundMs(leaseMs))
  }

  #onLookFailed (error: OrderError): void {
    const { code, message } = error
    if (code === ORDER_ERROR_CODES.noAnswer) this.#host.onAnswerLost(this.id)
    if (this.#failedLooks++ === 0) this.#host.logger.logWarning(JOB_EVENTS.targetLost, { target: this.id, code, message })
    if (error.code === ORDER_ERROR_CODES.fenced) this.#host.onFenced()
  }

  #applyReport (report: TargetReport, sentAtMs: number): boolean {
    const nowMs = this.#host.clock.readMonotonicMs()
    const isFirst = !this.#isKnown
    if (this.#startedAtMs !== undefined && report.startedAtMs < this.#startedAtMs) return false
    if (this.#startedAtMs !== undefined && report.startedAtMs > this.#startedAtMs) this.#beginNewLife(report)
    this.#startedAtMs = report.startedAtMs
    const hasReturned = isFirst || this.#failedLooks > 0
    if (hasReturned) this.#host.logger.logInfo(JOB_EVENTS.targetReached, { target: this.id, running: report.running.length })
    this.#failedLooks = 0
    this.#isKnown = true
    this.#lastAnswerMs = nowMs
    this.#clock.update(report.targetClockMs, nowMs)
    const endedRows = this.#ends.selectNew(report.ended)
    const runningKeys = new Set(report.running.map((row) => formatRowKey(row)))
    for (const row of report.running) this.#applyRunning(row, nowMs)
    for (const row of endedRows) this.#applyEnd(row)
    for (const run of this.#runs.copy()) this.#checkAbsent(run, runningKeys, sentAtMs)
    this.#earlierOrders.stopAll(this.#description)
    if (endedRows.length > 0) this.#ends.acknowledge(endedRows, this.#host.runWhenStored)
    if (isFirst) this.#host.onRoomChanged()
    return report.ended.length > 0
  }

  #applyRunning (row: RunningRow, nowMs: number): void {
    const key = formatRowKey(row)
    if (this.#ends.hasEnded(key)) return
    let run = this.#runs.find(key)
    if (run === undefined) {
      run = this.#host.onUnknownRun(row, this.id)
      if (run === undefined) return
      this.#runs.add(run)
      void this.#orders.sendStop(run)
      return
    }
    this.#orders.markRunning(run)
    if (row.percent !== run.percent) {
      run.percent = row.percent
      run.percentChangedAtMs = nowMs
    }
    if (row.checkpoint !== '') this.#host.onCheckpoint(run, row.checkpoint)
  }

  #applyEnd (row: EndRow): void {
    const run = this.#runs.find(formatRowKey(row))
    if (run === undefined) return
    const hasRun = row.outcome === RUN_OUTCOMES.done || row.outcome === RUN_OUTCOMES.failed
    if (hasRun) this.#orders.markRunning(run)
    this.#settle(run, row.outcome, row.checkpoint)
  }

  /** Settles a run that the target lists neither as running nor as ended. */
  #checkAbsent (run: TaskRun, runningKeys: ReadonlySet<string>, sentAtMs: number): void {
    if (runningKeys.has(formatRunKey(run)) || run.phase === RUN_PHASES.reserved || run.sentAtMs >= sentAtMs) return
    if (run.phase === RUN_PHASES.running) {
      // The order was answered before the look was sent, so the run has ended and its end is forgotten.
      if (sentAtMs - run.sentAtMs > this.#host.timings.orderTimeoutMs) this.#settle(run, RUN_OUTCOMES.lapsed, '')
      return
    }
    if (run.phase !== RUN_PHASES.unsettled) return
    const isFromEarlierOwner = run.sentAtMs === Number.NEGATIVE_INFINITY
    // The target has seen this owner's token, so it refuses an order of an earlier owner that is still on its way.
    if (isFromEarlierOwner || run.isStopAcknowledged) return this.#settle(run, RUN_OUTCOMES.notStarted, '')
    this.requestStop(run)
  }

  /** The target has started again: it knows no token and no earlier order, and has run only what it lists. */
  #beginNewLife ({ running, ended }: TargetReport): void {
    this.#host.logger.logWarning(JOB_EVENTS.targetRestarted, { target: this.id, runs: this.#runs.count() })
    this.#ends.reset()
    this.#clock.reset()
    const ofNewLife = new Set([...running, ...ended].map((row) => formatRowKey(row)))
    for (const run of this.#runs.copy()) {
      if (ofNewLife.has(formatRunKey(run))) continue
      const mayStillArrive = run.phase === RUN_PHASES.sent || run.phase === RUN_PHASES.unsettled
      if (run.phase === RUN_PHASES.reserved) continue
      if (!mayStillArrive || run.sentAtMs === Number.NEGATIVE_INFINITY) {
        this.#settle(run, RUN_OUTCOMES.lapsed, '')
        continue
      }
      // An order to the earlier life may reach this one, which would take it.
      run.phase = RUN_PHASES.unsettled
      run.isStopAcknowledged = false
      run.isStopWanted = true
      void this.#orders.sendStop(run)
    }
  }
}
