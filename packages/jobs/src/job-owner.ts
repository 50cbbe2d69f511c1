import type { PeerNetwork } from '@hibiscusledge/peer/peer-network.js'
import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { MetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import type { KeyValueStore, Mutation } from '@hibiscusledge/store/key-value-store.js'
import { AccountShares } from './accounts/account-shares.js'
import type { ReadAccounts } from './accounts/account-table.js'
import { AccountUsage } from './accounts/account-usage.js'
import { LoadReporter } from './admission/load-reporter.js'
import { AdviceDispatcher } from './advice-dispatcher.js'
import { FailureAttribution } from './failures/failure-attribution.js'
import { JOB_EVENTS } from './job-events.js'
import { formatWriteSequenceKey } from './job-keys.js'
import { LateStartPolicy } from './late-start-policy.js'
import { LossPoller } from './loss-poller.js'
import { FinishedCleaner } from './finished-cleaner.js'
import { JOB_STATES, type JobState } from './job.js'
import { decodeJob } from './job-record.js'
import { HeldWorkLedger } from './held-work/held-work-ledger.js'
import { JOB_MESSAGES } from './job-messages.js'
import { JOB_METRICS } from './job-metrics.js'
import { JobTable } from './job-table.js'
import type { OwnerElection, Ownership } from './owner-election.js'
import { publishOwnerGauges } from './owner-gauges.js'
import type { OwnerTimings } from './owner-timings.js'
import { createPlaceholderDescription } from './placeholder-target.js'
import { PlacementPlanner } from './placement-planner.js'
import { buildMutations } from './progress-record.js'
import { ProgressWriterPool } from './progress-writer-pool.js'
import { recoverJobs } from './recover-jobs.js'
import { RoundPacer } from './round-pacer.js'
import type { ReportedRun, TargetDescription, TargetDirectory, TargetGateway } from './target-gateway.js'
import type { SessionContext } from './session-context.js'
import { TargetInventory } from './target-inventory.js'
import { TargetSession } from './target-session.js'
import { RunTimeRecorder } from './targets/run-time-recorder.js'
import { TargetSpeeds } from './targets/target-speeds.js'
import type { TaskRun } from './task-run.js'
import { TaskSupervisor } from './task-supervisor.js'
import { TURN_PARTS, TurnMeter } from './turns/turn-meter.js'
import { PacedQueue } from './turns/paced-queue.js'
import { WorkMeter } from './turns/work-meter.js'
import { WorkWatcher } from './work-watcher.js'

const UPDATE_PERIOD_MS = 100
const RETIREMENT_REASONS = {
  superseded: 'another owner has written to the store',
  fenced: 'a target has seen a newer owner'
} as const

/** Orders of which each takes up to 0.7 ms of a processor in the first seconds of a process. */
const ORDERS_PER_TURN = 100
const RECOVERY_RETRY_DELAY_MS = 200
const CLEANUP_PERIOD_MS = 60_000
const HELD_WORK_PERIOD_MS = 500

export interface JobOwnerOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: EventLogger
  readonly metrics: MetricSink
  readonly store: KeyValueStore
  readonly gateway: TargetGateway
  readonly directory: TargetDirectory
  readonly network: PeerNetwork
  readonly timings: OwnerTimings
  readonly ownership: Ownership
  readonly election: OwnerElection
  /** Time for which the state of a finished job can be read. */
  readonly retentionMs: number
  readonly readAccounts: ReadAccounts
  /** Limit on what is held for all accepted jobs. */
  readonly maximumHeldBytes: number
}

/** The owner of all targets. Only it places tasks and sends orders, until another instance takes over. */
export class JobOwner {
  readonly #options: JobOwnerOptions
  readonly #work = new WorkMeter()
  readonly #orders: PacedQueue
  readonly #turns: TurnMeter
  readonly #table = new JobTable(this.#work)
  readonly #speeds = new TargetSpeeds()
  readonly #runTimes: RunTimeRecorder
  readonly #sessions = new Map<string, TargetSession>()
  readonly #accountUsage = new AccountUsage()
  readonly #failures: FailureAttribution
  readonly #lateStarts: LateStartPolicy
  readonly #lossPoller: LossPoller
  readonly #writer: ProgressWriterPool
  readonly #supervisor: TaskSupervisor
  readonly #planner: PlacementPlanner
  readonly #rounds: RoundPacer
  readonly #sessionContext: SessionContext
  readonly #workWatcher: WorkWatcher
  readonly #cleaner: FinishedCleaner
  readonly #loadReporter: LoadReporter
  readonly #heldWork: HeldWorkLedger
  #timers: Timer[] = []
  /** Revision up to which accepted work was read during recovery. */
  #workRevision = 0
  #isReady = false
  #isStopped = false

  constructor (options: JobOwnerOptions) {
    this.#options = options
    this.#orders = new PacedQueue(options.clock, ORDERS_PER_TURN)
    this.#turns = new TurnMeter({
      clock: options.clock,
      logger: options.logger,
      metrics: options.metrics,
      work: this.#work,
      readHoldings: () => this.#table.measureHoldings()
    })
    this.#runTimes = new RunTimeRecorder(options.clock, this.#table, this.#speeds)
    const { clock, random, logger, metrics, store, ownership, election, timings } = options
    this.#failures = new FailureAttribution(clock, logger, this.#table, this.#sessions)
    this.#writer = new ProgressWriterPool({
      clock,
      logger,
      metrics,
      turns: this.#turns,
      store,
      ownerRevision: ownership.ownerRevision,
      sequenceRevision: ownership.sequenceRevision,
      writePeriodMs: timings.writePeriodMs,
      buildMutations: (jobId) => this.#buildMutations(jobId),
      isAuthorized: () => election.isAuthorized(),
      onSuperseded: () => election.retire(RETIREMENT_REASONS.superseded),
      onFailed: () => election.renewNow(),
      onUnstorable: (jobId) => this.#supervisor.failUnstorableJob(jobId)
    }, formatWriteSequenceKey)
    const markChanged = (jobId: string): void => this.#writer.markChanged(jobId)
    const runWhenJobStored = (jobId: string, callback: () => void): void => this.#writer.runWhenJobStored(jobId, callback)
    this.#rounds = new RoundPacer(clock, () => this.#turns.measure(TURN_PARTS.round, () => this.#planner.runRound()))
    const requestRound = (): void => this.#rounds.request()
    const shares = new AccountShares(options.readAccounts)
    this.#supervisor = new TaskSupervisor({
      clock,
      random,
      logger,
      metrics,
      table: this.#table,
      shares,
      markChanged,
      runWhenJobStored,
      requestStop: (run) => this.#sessions.get(run.targetId)?.requestStop(run),
      requestRound,
      onFinished: (progress) => {
        this.#planner.forgetJob(progress)
        this.#failures.forgetJob(progress.job.id)
      },
      onStepsDropped: (steps) => this.#planner.forgetSteps(steps),
      onStalled: (run) => this.#sessions.get(run.targetId)?.health.recordStall(clock.readMonotonicMs())
    })
    this.#planner = new PlacementPlanner({
      clock,
      logger,
      metrics,
      work: this.#work,
      orders: this.#orders,
      table: this.#table,
      advice: new AdviceDispatcher(clock, logger, options.network),
      term: ownership.term,
      sessions: this.#sessions,
      speeds: this.#speeds,
      readAccounts: options.readAccounts,
      shares,
      accountUsage: this.#accountUsage,
      isAuthorized: () => election.isAuthorized(),
      markChanged,
      runWhenJobStored,
      requestRound
    })
    this.#loadReporter = new LoadReporter({
      clock,
      turns: this.#turns,
      network: options.network,
      table: this.#table,
      inventory: new TargetInventory(this.#sessions, this.#speeds),
      term: ownership.term,
      readAccounts: options.readAccounts,
      shares,
      isAuthorized: () => election.isAuthorized(),
      isPermittedNowhere: (step) => this.#planner.isPermittedNowhere(step)
    })
    this.#heldWork = new HeldWorkLedger({ clock, table: this.#table, term: ownership.term, maximumBytes: options.maximumHeldBytes })
    this.#lateStarts = new LateStartPolicy({
      clock,
      lateOrderMs: timings.lateOrderMs,
      countTargets: () => this.#sessions.size,
      isDelayable: (run) => this.#supervisor.isDelayable(run)
    })
    this.#lossPoller = new LossPoller(clock, this.#sessions)
    this.#sessionContext = this.#createSessionContext()
    this.#workWatcher = new WorkWatcher(clock, logger, store, {
      onJob: (id, record) => { if (!this.#table.has(id)) this.#turns.measure(TURN_PARTS.relay, () => this.#adoptRecord(record)) },
      onCancel: (id) => this.#turns.measure(TURN_PARTS.relay, () => this.#applyStoredCancellation(id))
    })
    this.#cleaner = new FinishedCleaner(clock, store, ownership.ownerRevision, options.retentionMs)
  }

  /** Recovers the stored jobs, then follows the targets and watches for new work. */
  async start (): Promise<void> {
    const { clock, logger, metrics, store, directory } = this.#options
    const startedAtMs = clock.readMonotonicMs()
    const recovery = await recoverJobs({
      clock,
      logger,
      turns: this.#turns,
      store,
      table: this.#table,
      supervisor: this.#supervisor,
      requestStop: (run) => this.#sessions.get(run.targetId)?.requestStop(run),
      adoptRun: (run) => this.#ensureSession(createPlaceholderDescription(run.targetId)).addRun(run)
    })
    if (this.#isStopped) return
    if (recovery.err) {
      logger.logWarning(JOB_EVENTS.recoveryFailed, { code: recovery.val.code, message: recovery.val.message })
      clock.startTimer(RECOVERY_RETRY_DELAY_MS, () => { if (!this.#isStopped) void this.start() })
      return
    }
    metrics.recordTiming(JOB_METRICS.recovery, clock.readMonotonicMs() - startedAtMs)
    this.#workRevision = recovery.val.workRevision
    this.#isReady = true
    for (const id of recovery.val.cancelledIds) this.#supervisor.cancelJob(id)
    for (const id of recovery.val.orphanedIds) this.#cleaner.recordOrphanedCancellation(id)
    this.#workWatcher.start(recovery.val.workRevision)
    this.#reportHeldWork()
    this.#loadReporter.start()
    directory.subscribe({ onTargets: (targets) => this.#applyTargets(targets) })
    this.#timers = [
      clock.startInterval(UPDATE_PERIOD_MS, () => this.#turns.measure(TURN_PARTS.update, () => this.#update())),
      clock.startInterval(HELD_WORK_PERIOD_MS, () => this.#reportHeldWork()),
      clock.startInterval(CLEANUP_PERIOD_MS, () => this.#forgetFinished())
    ]
  }

  /** Stops at once and sends no further orders. */
  stop (): void {
    this.#isStopped = true
    this.#workWatcher.stop()
    this.#options.directory.stop()
    this.#writer.stop()
    this.#planner.stop()
    this.#rounds.stop()
    this.#loadReporter.stop()
    for (const timer of this.#timers) timer.cancel()
    for (const session of this.#sessions.values()) session.stop()
  }

  /** Adopts a job that was just stored. Jobs stored before the takeover are ignored: recovery has read them, or they have finished. */
  adoptAnnounced (text: string, revision: number): void {
    if (!this.#isReady || revision <= this.#workRevision) return
    this.#turns.measure(TURN_PARTS.relay, () => this.#adoptRecord(text))
  }

  cancelJob (id: string): void {
    if (this.#isReady) this.#turns.measure(TURN_PARTS.relay, () => this.#supervisor.cancelJob(id))
  }

  /** Returns the state that callers may see; undefined when the job isn't known here. A final state is visible once it is stored. */
  findState (id: string): JobState | undefined {
    const finished = this.#table.findFinished(id)
    if (finished !== undefined) return finished.state
    const progress = this.#table.find(id)
    if (progress === undefined) return undefined
    if (progress.storedState !== undefined) return progress.storedState
    return progress.hasStarted ? JOB_STATES.running : JOB_STATES.queued
  }

  /** Returns the account of a job; undefined when the job has none or isn't known here. */
  findAccount (id: string): string | undefined {
    return (this.#table.find(id)?.job ?? this.#table.findFinished(id))?.account
  }

  /** Polls all targets that have runs, to extend their leases as far as possible before the authority to do so ends. */
  extendLeases (): void {
    for (const session of this.#sessions.values()) if (session.countRuns() > 0) session.pollNow()
  }

  isReady (): boolean {
    return this.#isReady && !this.#isStopped
  }

  /** Reserves room for a large job that is about to be stored. Returns whether there was enough. */
  reserveHeldWork (id: string, bytes: number): boolean {
    return this.#heldWork.reserve(id, bytes)
  }

  countWaiting (queue: string): number {
    return this.#table.countWaiting(queue)
  }

  /** Tells all instances, this one included, how much is held. */
  #reportHeldWork (): void {
    const { network, election } = this.#options
    if (!election.isAuthorized()) return
    const instances = [network.self, ...network.listConnected()]
    const report = this.#heldWork.buildReport(instances.length)
    for (const { instance } of instances) network.sendNotification(instance, JOB_MESSAGES.reportHeldWork, report)
  }

  #applyStoredCancellation (id: string): void {
    const finished = this.#table.findFinished(id)
    // The final transaction of a cancelled job has deleted its cancellation.
    if (finished !== undefined && finished.state !== JOB_STATES.cancelled) this.#cleaner.recordOrphanedCancellation(id)
    this.cancelJob(id)
  }

  #adoptRecord (text: string): void {
    const job = decodeJob(text)
    if (job.err) return this.#options.logger.logError(JOB_EVENTS.recordMalformed, { message: job.val })
    if (this.#table.has(job.val.id)) return
    this.#supervisor.adoptJob(job.val, this.#options.clock.readMonotonicMs())
    this.#rounds.request()
  }

  #createSessionContext (): SessionContext {
    const { clock, logger, gateway, timings, election } = this.#options
    return {
      clock,
      logger,
      turns: this.#turns,
      orders: this.#orders,
      gateway,
      timings,
      fencingTokens: this.#writer,
      accountUsage: this.#accountUsage,
      isAuthorized: () => election.isAuthorized(),
      isStoreHealthy: () => election.isStoreHealthy(),
      shouldAwaitLateStart: (run) => this.#lateStarts.shouldAwait(run),
      onTargetRestarted: (targetId) => {
        this.#lateStarts.recordRestart(targetId)
        this.#speeds.forget(targetId)
      },
      recordSuccess: (run) => this.#failures.recordSuccess(run),
      recordFailure: (run) => this.#failures.recordFailure(run),
      onRunEnded: (run, end) => {
        this.#runTimes.record(run, end)
        this.#loadReporter.recordEnd(run, end.outcome)
        this.#supervisor.onRunEnded(run, end)
      },
      onRunStarted: (run) => this.#supervisor.onRunStarted(run),
      onCheckpoint: (run, checkpoint) => this.#supervisor.onCheckpoint(run, checkpoint),
      onUnknownRun: (reported, targetId) => this.#createUnknownRun(reported, targetId),
      onUnknownEnd: (reported, targetId) => this.#supervisor.onUnknownEnd(reported, targetId),
      onTicketRefused: (run) => this.#planner.expireTicket(run),
      runWhenStored: (callback) => this.#writer.runWhenStored(callback),
      onCapacityChanged: () => this.#rounds.request(),
      onAnswerLost: (targetId) => this.#lossPoller.recordLoss(targetId),
      onFenced: () => election.retire(RETIREMENT_REASONS.fenced)
    }
  }

  #createUnknownRun (reported: ReportedRun, targetId: string): TaskRun | undefined {
    return this.#supervisor.createUnknownRun(reported, targetId, this.#sessions.get(targetId)?.capacity.readCapacity())
  }

  #buildMutations (jobId: string): readonly Mutation[] {
    const progress = this.#table.find(jobId)
    if (progress === undefined) return []
    this.#work.add(progress.countOpenSteps())
    return buildMutations(progress, this.#options.clock.readWallMs())
  }

  #update (): void {
    for (const session of this.#sessions.values()) {
      session.checkLeaseExpiry()
      this.#supervisor.stopStalledRuns(session.listRuns(), session.readLastAnswerMs())
      this.#supervisor.evictRuns(session.listRuns(), session.readLeavesAtMs())
      if (!session.isObsolete()) continue
      session.stop()
      this.#sessions.delete(session.id)
      this.#options.gateway.removeTarget(session.id)
      this.#speeds.forget(session.id)
      this.#options.logger.logInfo(JOB_EVENTS.targetRemoved, { target: session.id })
    }
    this.#lossPoller.pollDueTargets()
    this.#supervisor.addDueOccurrences()
    this.#supervisor.resumeTasks()
    publishOwnerGauges(this.#options.metrics, this.#table, this.#sessions.values())
    this.#rounds.request()
  }

  #forgetFinished (): void {
    const { clock, election, retentionMs } = this.#options
    this.#table.forgetFinished(clock.readMonotonicMs() - retentionMs)
    if (election.isAuthorized()) void this.#cleaner.removeExpired()
  }

  #applyTargets (targets: readonly TargetDescription[]): void {
    if (this.#isStopped) return
    const listed = new Set(targets.map((target) => target.id))
    for (const target of targets) this.#ensureSession(target).setDescription(target)
    for (const session of this.#sessions.values()) if (!listed.has(session.id)) session.markUnlisted()
    this.#rounds.request()
  }

  #ensureSession (description: TargetDescription): TargetSession {
    let session = this.#sessions.get(description.id)
    if (session === undefined) {
      session = new TargetSession(description, this.#sessionContext)
      this.#sessions.set(description.id, session)
      session.start()
      this.#options.logger.logInfo(JOB_EVENTS.targetAdded, { target: description.id, service: description.service })
    }
    return session
  }
}
