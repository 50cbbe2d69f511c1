import { AbandonedOrders } from './abandoned-orders.js'
import { MessageOrder } from './message-order.js'
import { EndAcknowledger, NO_ENDS } from './end-acknowledger.js'
import { IncarnationTracker } from './incarnation-tracker.js'
import { JOB_EVENTS } from './job-events.js'
import { PollTimer } from './poll-timer.js'
import { ReportApplier, type SentPoll } from './report-applier.js'
import { RunCloser } from './run-closer.js'
import { RunOrderSender, type StartParameters } from './run-order-sender.js'
import type { SessionContext } from './session-context.js'
import { SessionRuns } from './session-runs.js'
import { ORDER_ERROR_CODES, type OrderError, type PollOrder, type TargetDescription, type TargetReport } from './target-gateway.js'
import { TargetFence } from './target-fence.js'
import { TargetHealth } from './target-health.js'
import type { TargetIncarnation } from './target-incarnation.js'
import { TargetLease } from './target-lease.js'
import { TargetListing } from './target-listing.js'
import type { CapacityTracker } from './capacity-tracker.js'
import type { TaskRun } from './task-run.js'
import { TURN_PARTS } from './turns/turn-meter.js'

/** The owner's session with one target: sends orders and polls, extends the lease, and tracks the runs and their capacity. */
export class TargetSession {
  readonly health = new TargetHealth()
  readonly #listing: TargetListing
  readonly #context: SessionContext
  readonly #runs: SessionRuns
  readonly #orders: RunOrderSender
  readonly #closer: RunCloser
  readonly #reports: ReportApplier
  readonly #messages = new MessageOrder()
  readonly #fence: TargetFence
  readonly #abandonedOrders: AbandonedOrders
  readonly #pollTimer: PollTimer
  readonly #incarnations: IncarnationTracker
  readonly #acknowledger: EndAcknowledger
  #hasReported = false
  #isStopped = false
  readonly #lease: TargetLease
  #lastAnswerMs: number
  #failedPolls = 0

  constructor (description: TargetDescription, context: SessionContext) {
    this.#listing = new TargetListing(description, context.clock)
    this.#context = context
    this.#fence = new TargetFence(context.fencingTokens)
    this.#runs = new SessionRuns(description.capacity, context.timings.rememberedEnds, context.accountUsage)
    this.#incarnations = new IncarnationTracker(this.#messages, context.timings.rememberedEnds, {
      onRestarted: (report, previous) => this.#onTargetRestarted(report, previous),
      onUnknownIncarnation: (targetClockMs, isNew) => this.#onUnknownIncarnation(targetClockMs, isNew)
    })
    this.#orders = new RunOrderSender(context, {
      runs: this.#runs,
      messages: this.#messages,
      fence: this.#fence,
      health: this.health,
      incarnations: this.#incarnations,
      readDescription: () => this.readDescription(),
      isOpenForStarts: () => this.#isOpenForStarts(),
      isStopped: () => this.#isStopped,
      extendLease: (nowMs, leaseMs) => this.#lease.extend(nowMs, leaseMs),
      pollNow: () => this.pollNow(),
      endRun: (run, end) => this.#closer.endRun(run, end)
    })
    this.#abandonedOrders = new AbandonedOrders(context, this.#fence)
    this.#closer = new RunCloser(context, {
      targetId: description.id, runs: this.#runs, health: this.health, abandonedOrders: this.#abandonedOrders
    })
    this.#acknowledger = new EndAcknowledger({
      clock: context.clock, incarnations: this.#incarnations, listing: this.#listing, runs: this.#runs
    })
    this.#reports = new ReportApplier(context, {
      targetId: description.id,
      runs: this.#runs,
      orders: this.#orders,
      closer: this.#closer
    })
    this.#pollTimer = new PollTimer(context.clock, async () => await this.#runScheduledPoll())
    const nowMs = context.clock.readMonotonicMs()
    this.#lastAnswerMs = nowMs
    this.#lease = new TargetLease(context.timings, nowMs)
  }

  get id (): string { return this.readDescription().id }

  readDescription (): TargetDescription { return this.#listing.readDescription() }

  /** Capacity of the target and what its runs reserve of it. */
  get capacity (): CapacityTracker { return this.#runs.capacity }

  listRuns (): Iterable<TaskRun> { return this.#runs.list() }

  countRuns (): number { return this.#runs.count() }

  /** Whether the target may get tasks: it is active, has answered this owner recently, and is healthy. */
  isUsable (nowMs: number): boolean {
    return this.#hasReported && this.#isOpenForStarts() && !this.#abandonedOrders.hasUnrefused() &&
      nowMs - this.#lastAnswerMs < this.#context.timings.unresponsiveMs && this.health.shouldReceiveTasks(nowMs, this.#runs.list())
  }

  /** Whether the target is listed and not draining. */
  isActive (): boolean { return this.#listing.isActive() }

  /** Returns the monotonic time before which a draining target doesn't leave; undefined when it isn't draining or the time is not known. */
  readLeavesAtMs (): number | undefined { return this.#listing.readLeavesAtMs() }

  /** Returns the monotonic time of the last report. */
  readLastAnswerMs (): number { return this.#lastAnswerMs }

  /** Whether the target is no longer listed and can't have any run of this owner. */
  isObsolete (): boolean {
    return !this.#listing.isListed() && this.#runs.count() === 0 && this.#abandonedOrders.isEmpty()
  }

  start (): void {
    this.#pollTimer.schedule(0)
  }

  stop (): void {
    this.#isStopped = true
    this.#pollTimer.stop()
  }

  setDescription (description: TargetDescription): void {
    this.capacity.setCapacity(description.capacity)
    const wasOfAnother = this.#listing.isOfAnotherIncarnation()
    if (this.#listing.update(description)) this.#pollTimer.schedule(0)
    if (wasOfAnother || !this.#listing.isOfAnotherIncarnation()) return
    // An order on the earlier clock may have reached the incarnation that is listed.
    this.#lease.extendToMaximum(this.#context.clock.readMonotonicMs())
    this.#context.logger.logInfo(JOB_EVENTS.targetListingDiffers, {
      target: this.id, listedStartedAtMs: description.startedAtMs, startedAtMs: this.#incarnations.readCurrent()?.startedAtMs
    })
  }

  markUnlisted (): void { this.#listing.markUnlisted() }

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
    if (this.#runs.count() === 0 || !this.#lease.hasExpired(nowMs)) return
    const runs = this.#closer.dropAll()
    if (runs === 0) return
    this.#hasReported = false
    const silentMs = Math.round(nowMs - this.#lastAnswerMs)
    this.#context.logger.logWarning(JOB_EVENTS.targetLeaseLapsed, { target: this.id, runs, silentMs })
  }

  /** Polls the target at once; it answers without waiting for a run to end. */
  pollNow (): void {
    void this.#poll(0, NO_ENDS)
  }

  async #runScheduledPoll (): Promise<void> {
    const { clock, timings, runWhenStored } = this.#context
    const hadEnds = await this.#poll(this.#choosePollWaitMs(), this.#acknowledger.findDroppableEnd())
    if (this.#failedPolls > 0) {
      const mayMatter = this.#listing.isListed() || this.#runs.count() > 0
      return this.#pollTimer.schedule(mayMatter ? timings.pollRetryMs : timings.unresponsiveMs)
    }
    if (!hadEnds) return this.#pollTimer.schedule(0)
    // The target answers at once while ended runs are unacknowledged, so the next poll waits until they are stored. If that
    // takes long, the poll is sent anyway, since other runs may have ended.
    const notBeforeMs = clock.readMonotonicMs() + timings.pollPauseMs
    this.#pollTimer.schedule(timings.unstoredPollMs)
    runWhenStored(() => this.#pollTimer.schedule(Math.max(0, notBeforeMs - clock.readMonotonicMs())))
  }

  /** Returns how long the target may wait for a run to end: not while it may have restarted, and briefly while stops are repeated. */
  #choosePollWaitMs (): number {
    const { pollWaitMs, stopRetryMs } = this.#context.timings
    if (!this.#hasReported || this.#incarnations.isInDoubt()) return 0
    return this.#abandonedOrders.hasUnrefused() ? stopRetryMs : pollWaitMs
  }

  /** Polls the target. Returns whether the report listed ended runs that are not acknowledged yet. */
  async #poll (waitMs: number, acknowledgedEnd: number): Promise<boolean> {
    const { clock, gateway, timings, turns } = this.#context
    const fencingToken = this.#fence.readToken()
    const sentAtMs = clock.readMonotonicMs()
    const sentAt = this.#messages.advance()
    const targetNowMs = this.#incarnations.readCurrent()?.clock.estimate(sentAtMs)
    const leaseMs = this.#context.isStoreHealthy() ? timings.leaseMs : timings.maximumLeaseMs
    // An unresponsive target may still receive the poll. Its lease is not extended, since it must expire before the tasks run elsewhere.
    const isReachable = this.#failedPolls === 0 && !this.#incarnations.isRestartSuspected()
    const isExtending = targetNowMs !== undefined && isReachable && this.#context.isAuthorized()
    if (isExtending) this.#lease.extend(sentAtMs, leaseMs)
    const result = await gateway.fetchReport(this.readDescription(), {
      fencingToken,
      acknowledgedEnd,
      leaseUntilMs: isExtending ? Math.floor(targetNowMs + leaseMs) : undefined,
      waitMs
    })
    if (this.#isStopped) return false
    if (result.ok) {
      const { val: report } = result
      return turns.measure(TURN_PARTS.report, () => this.#applyReport(report, { sentAt, sentAtMs, acknowledgedEnd }))
    }
    this.#onPollFailed(result.val, { fencingToken, acknowledgedEnd })
    return false
  }

  #onPollFailed ({ code, message }: OrderError, { fencingToken, acknowledgedEnd }: Pick<PollOrder, 'fencingToken' | 'acknowledgedEnd'>): void {
    if (code === ORDER_ERROR_CODES.fenced && this.#fence.hasOvertaken(fencingToken)) return
    this.#incarnations.recordLoss()
    // A later incarnation that carries the poll out would drop as many of its own ends.
    if (code === ORDER_ERROR_CODES.noAnswer && acknowledgedEnd !== NO_ENDS) this.#fence.advanceBeyond(fencingToken)
    if (code === ORDER_ERROR_CODES.noAnswer) this.#context.onAnswerLost(this.id)
    if (this.#failedPolls++ === 0) this.#context.logger.logWarning(JOB_EVENTS.targetLost, { target: this.id, code, message })
    if (code === ORDER_ERROR_CODES.otherIncarnation) this.#incarnations.suspectRestart()
    if (code === ORDER_ERROR_CODES.fenced) this.#context.onFenced()
  }

  #applyReport (report: TargetReport, poll: SentPoll): boolean {
    const nowMs = this.#context.clock.readMonotonicMs()
    this.#context.turns.work.add(report.running.length + report.ended.length + this.#runs.count())
    const receivedAt = this.#messages.advance()
    const incarnation = this.#incarnations.resolve(report, poll.sentAt, receivedAt)
    if (incarnation === undefined) {
      this.pollNow()
      return false
    }
    this.#listing.recordReportedStart(incarnation.startedAtMs)
    const isNewest = incarnation.recordReport(report, poll.sentAt, receivedAt, nowMs)
    // A poll from before this incarnation's first report has acknowledged ends of an earlier one.
    if (poll.sentAt > incarnation.recognizedAt) incarnation.ends.confirmDropped(poll.acknowledgedEnd)
    this.#recordContact(report, nowMs)
    const newEnds = incarnation.ends.selectNew(report.ended)
    this.#reports.applyEnds(newEnds, incarnation)
    if (isNewest) {
      this.#acknowledger.hasMoreEnds = report.hasMoreEnds === true
      this.#reports.applyNewest(report, poll, incarnation)
    }
    this.#abandonedOrders.stopAll(this.readDescription())
    if (newEnds.length > 0) incarnation.ends.acknowledge(newEnds, this.#context.runWhenStored)
    return report.ended.length > 0
  }

  /** Handles a restart. The runs are judged by the reports: an order that was sent before may have taken effect on either side of it. */
  #onTargetRestarted ({ startedAtMs, targetClockMs }: TargetReport, previous: TargetIncarnation): void {
    this.#context.logger.logWarning(JOB_EVENTS.targetRestarted, {
      target: this.id,
      runs: this.#runs.count(),
      previousStartedAtMs: previous.startedAtMs,
      startedAtMs,
      targetClockMs: Math.round(targetClockMs)
    })
    this.#context.onTargetRestarted(this.id)
    this.#lease.extendToMaximum(this.#context.clock.readMonotonicMs())
    this.#fence.advanceBeyond(this.#fence.readToken())
    this.#abandonedOrders.onTargetRestarted()
    this.#orders.sendStopsAgain()
  }

  /** Polls a target of which an order was answered by an incarnation that hasn't reported yet. Its lease can't be known. */
  #onUnknownIncarnation (targetClockMs: number, isNew: boolean): void {
    this.#lease.extendToMaximum(this.#context.clock.readMonotonicMs())
    if (!isNew) return
    this.#fence.advanceBeyond(this.#fence.readToken())
    this.#context.logger.logInfo(JOB_EVENTS.targetRestartSuspected, { target: this.id, targetClockMs: Math.round(targetClockMs) })
    this.pollNow()
  }

  /** Whether a placed run may be started on the target as it was described when it was chosen. */
  #isOpenForStarts (): boolean {
    return this.isActive() && !this.#incarnations.isRestartSuspected() && !this.#listing.isOfAnotherIncarnation()
  }

  #recordContact (report: TargetReport, nowMs: number): void {
    const isFirst = !this.#hasReported
    const hasReturned = isFirst || this.#failedPolls > 0
    if (hasReturned) this.#context.logger.logInfo(JOB_EVENTS.targetReached, { target: this.id, running: report.running.length })
    this.#failedPolls = 0
    this.#hasReported = true
    this.#lastAnswerMs = nowMs
    if (isFirst) this.#context.onCapacityChanged()
  }
}
