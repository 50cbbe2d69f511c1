import { PEER_MESSAGE_KINDS } from '@hibiscusledge/peer/peer-message-kinds.js'
import type { UnitOwner } from '@hibiscusledge/peer/ownership-directory.js'
import type { ShardLoad } from '@hibiscusledge/peer/load-directory.js'
import type { Timer } from '@hibiscusledge/runtime/clock.js'
import type { InstanceId, RequestId, TargetId, UnitId } from '@hibiscusledge/runtime/identifiers.js'
import type { TraceContext } from '@hibiscusledge/runtime/trace-context.js'
import { REJECTION_REASONS, RUN_RESULTS, type Decision, type StartDecision } from '@hibiscusledge/scheduling/decision.js'
import type { PoolPolicy } from '@hibiscusledge/scheduling/pool-policy.js'
import type { ShardScheduler, WaitExplanation } from '@hibiscusledge/scheduling/shard-scheduler.js'
import { TARGET_KINDS, type Target } from '@hibiscusledge/scheduling/target.js'
import type { AttemptReporter } from './attempt-reporter.js'
import type { DispatchContext } from './dispatch-context.js'
import { DISPATCH_EVENTS } from './dispatch-events.js'
import {
  recordIntentReplySchema, type AttemptReport, type EnqueueMessage, type EnqueueReply, type HandOverMessage, type WithdrawMessage,
  type WithdrawReply
} from './dispatch-messages.js'
import { sendCheckedRequest } from './message-handler.js'
import { findPartition } from './request-id.js'
import {
  ATTEMPT_STATES, buildOrder, buildWorkItem, convertToRunResult, mergeReports, type ShardAttempt
} from './shard-attempt.js'
import { EndedAttempts } from './ended-attempts.js'
import { ForeignRuns } from './foreign-runs.js'
import { fetchOpenIntents, type OpenIntent } from './shard-recovery.js'
import type { RunOrder, RunReport, TargetAddress, TargetClient } from './target-client.js'
import { TargetMonitor } from './target-monitor.js'

const SCHEDULE_PERIOD_MS = 50
const DECISIONS_PER_TURN = 64
const INTENT_TIMEOUT_MS = 5000
/** An intent that may have been acknowledged longer ago is not acted on: the process may have been paused in between. */
const INTENT_VALIDITY_MS = 1000
/** How long a target that refused stays without new work when the instance list still shows it live. */
const REFUSAL_SUSPENSION_MS = 10_000
/** Worker tasks have no answer deadline of their own: their leases tell when they have ended. */
const TASK_TIMEOUT_MS = 7 * 24 * 3_600_000
/** How long an unanswered run is still asked about, and for how long its slot counts as used. */
const UNKNOWN_FOLLOW_UP_MS = 600_000
const UNKNOWN_SLOT_HOLD_MS = 60_000
/** Longer than a worker's lease with its margin: a task on a worker that is gone from the list has ended by then. */
const RECOVERED_TARGET_WAIT_MS = 18_000

export interface ShardRunnerOptions {
  readonly context: DispatchContext
  readonly unit: UnitId
  readonly owner: UnitOwner
  readonly scheduler: ShardScheduler
  readonly client: TargetClient
  readonly reporter: AttemptReporter
}

/** Queues, places and sends the work of one target shard. */
export class ShardRunner {
  readonly #context: DispatchContext
  readonly #unit: UnitId
  readonly #owner: UnitOwner
  readonly #scheduler: ShardScheduler
  readonly #client: TargetClient
  readonly #reporter: AttemptReporter
  readonly #attempts = new Map<RequestId, ShardAttempt>()
  readonly #ended: EndedAttempts
  readonly #targets = new Map<TargetId, Target>()
  readonly #monitor: TargetMonitor
  readonly #foreign: ForeignRuns
  readonly #timer: Timer
  #successor: InstanceId | undefined
  #isServing = false
  #isStopped = false
  #isScheduleRequested = false

  constructor (options: ShardRunnerOptions) {
    this.#context = options.context
    this.#unit = options.unit
    this.#owner = options.owner
    this.#scheduler = options.scheduler
    this.#client = options.client
    this.#reporter = options.reporter
    this.#ended = new EndedAttempts(options.context.clock)
    this.#monitor = new TargetMonitor(options.context, options.scheduler, options.client, () => this.#targets.values())
    this.#foreign = new ForeignRuns(options.scheduler, options.context.clock, () => { this.#requestSchedule() })
    this.#timer = options.context.clock.startInterval(SCHEDULE_PERIOD_MS, () => { this.#requestSchedule() })
  }

  /** Counts what earlier owners started, then serves. */
  async start (partitions: readonly UnitId[]): Promise<void> {
    const { store, clock, logger } = this.#context
    const open = await fetchOpenIntents(store, partitions, this.#unit, clock, logger, () => !this.#isStopped)
    for (const intent of open) this.#recoverIntent(intent)
    if (this.#unit.startsWith(TARGET_KINDS.executor)) await this.#monitor.countForeignRuns(this.#foreign, this.#countSentByTarget())
    this.#isServing = !this.#isStopped
    if (open.length > 0) logger.logInfo(DISPATCH_EVENTS.shardRecovered, { unit: this.#unit, intents: open.length })
  }

  applyPools (pools: readonly PoolPolicy[]): void {
    this.#scheduler.applyPools(pools, this.#context.clock.readMonotonicMs())
    this.#requestSchedule()
  }

  applyTargets (targets: readonly Target[]): void {
    this.#targets.clear()
    for (const target of targets) this.#targets.set(target.id, target)
    this.#scheduler.applyTargets(targets, this.#context.clock.readMonotonicMs())
    this.#requestSchedule()
  }

  enqueue (message: EnqueueMessage, trace: TraceContext | undefined): EnqueueReply {
    if (!this.#isServing || message.epoch !== this.#owner.epoch) return { type: 'notOwner' }
    const existing = this.#attempts.get(message.requestId)
    const known = Math.max(existing?.attempt ?? 0, this.#ended.find(message.requestId)?.attempt ?? 0)
    if (known === message.attempt) return { type: 'admitted' }
    if (known > message.attempt) {
      return { type: 'rejected', reason: REJECTION_REASONS.duplicate, detail: 'a later attempt of the request is known here' }
    }
    if (existing !== undefined && existing.state !== ATTEMPT_STATES.queued) {
      return { type: 'rejected', reason: REJECTION_REASONS.queueFull, detail: 'an earlier attempt still runs here' }
    }
    if (existing !== undefined) this.#removeQueued(existing)
    return this.#admit(message, trace)
  }

  withdraw (message: WithdrawMessage): WithdrawReply['state'] {
    const attempt = this.#attempts.get(message.requestId)
    if (attempt === undefined || attempt.attempt !== message.attempt) return this.#findUnsent(message)
    if (attempt.state === ATTEMPT_STATES.queued) {
      this.#removeQueued(attempt)
      return 'queued'
    }
    if (attempt.state === ATTEMPT_STATES.recording) {
      attempt.isWithdrawn = true
      return 'queued'
    }
    if (message.isStopWanted) this.#requestStop(attempt)
    return 'sent'
  }

  explainWait (requestId: RequestId): WaitExplanation | undefined {
    return this.#scheduler.explainWait(requestId, this.#context.clock.readMonotonicMs())
  }

  recordUsage (requestId: RequestId, taskIndex: number, usage: Parameters<ShardScheduler['recordUsage']>[2]): void {
    this.#scheduler.recordUsage(requestId, taskIndex, usage, this.#context.clock.readMonotonicMs())
  }

  buildLoad (): ShardLoad {
    return { unit: this.#unit, epoch: this.#owner.epoch, pools: this.#scheduler.reportLoads(this.#context.clock.readMonotonicMs()) }
  }

  countSent (): number {
    let count = 0
    for (const attempt of this.#attempts.values()) if (attempt.state !== ATTEMPT_STATES.queued) count++
    return count
  }

  /** Gives the queue back to the homes and tells the successor what still runs. */
  async prepareHandOver (successor: InstanceId): Promise<void> {
    this.#isServing = false
    this.#successor = successor
    for (const item of this.#scheduler.drainQueue()) {
      const attempt = this.#attempts.get(item.requestId)
      if (attempt !== undefined) this.#finish(attempt, { type: 'notRun', message: 'the shard is handed over' })
    }
    const isRecording = (): boolean => [...this.#attempts.values()].some((attempt) => attempt.state === ATTEMPT_STATES.recording)
    while (isRecording() && !this.#isStopped) {
      await new Promise<void>((resolve) => { this.#context.clock.startTimer(SCHEDULE_PERIOD_MS, resolve) })
    }
    this.#sendHandOver(successor, [...this.#attempts.values()].filter((attempt) => !attempt.isIntentNeeded), [])
  }

  /** Takes over what a former owner says still runs or has ended. */
  applyHandOver (message: HandOverMessage): void {
    const nowMs = this.#context.clock.readMonotonicMs()
    for (const running of message.running) {
      const item = buildWorkItem({ ...running, retries: 0, excludedTargets: [] }, nowMs, nowMs)
      this.#foreign.add(running.attempt, { item, targets: running.targets, startedAtMs: nowMs })
    }
    for (const ended of message.ended) this.#foreign.release(ended.requestId, ended.attempt)
  }

  /** Stops deciding and following. Requests sent to executors are still answered to their homes. */
  stop (): void {
    this.#isStopped = true
    this.#isServing = false
    this.#timer.cancel()
    this.#monitor.stop()
    this.#foreign.stop()
    for (const [requestId, attempt] of this.#attempts) {
      if (attempt.state !== ATTEMPT_STATES.queued) continue
      this.#attempts.delete(requestId)
      this.#ended.add(requestId, attempt.attempt, false)
    }
    if (this.#unit.startsWith(TARGET_KINDS.worker)) for (const targetId of this.#targets.keys()) this.#client.detach(targetId)
  }

  #admit (message: EnqueueMessage, trace: TraceContext | undefined): EnqueueReply {
    const nowMs = this.#context.clock.readMonotonicMs()
    const item = buildWorkItem(message, nowMs, nowMs + message.remainingMs)
    if (message.retries > 0 && !this.#scheduler.claimRetry(item, nowMs)) {
      return { type: 'rejected', reason: REJECTION_REASONS.retryBudgetExhausted, detail: `retry budget of pool ${item.pool}` }
    }
    const admission = this.#scheduler.admit(item, nowMs)
    if (!admission.isAdmitted) {
      const { reason, detail, retryAfterMs } = admission
      this.#context.metrics.incrementCounter('shard.rejected', 1, { reason, urgency: item.urgency })
      return { type: 'rejected', reason, detail, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) }
    }
    this.#attempts.set(item.requestId, {
      requestId: item.requestId,
      attempt: message.attempt,
      item,
      work: message.work,
      payload: message.payload,
      checkpoint: message.checkpoint,
      isIntentNeeded: message.isIntentNeeded,
      trace,
      state: ATTEMPT_STATES.queued,
      targets: [],
      isWithdrawn: false
    })
    this.#requestSchedule()
    return { type: 'admitted' }
  }

  #removeQueued (attempt: ShardAttempt): void {
    this.#scheduler.cancelQueued([attempt.requestId])
    this.#attempts.delete(attempt.requestId)
    this.#ended.add(attempt.requestId, attempt.attempt, false)
  }

  /** Answers a withdrawal of an attempt that is not here. One that may still be under way is refused when it arrives. */
  #findUnsent ({ requestId, attempt }: WithdrawMessage): WithdrawReply['state'] {
    const ended = this.#ended.find(requestId)
    if (ended?.attempt === attempt && !ended.mayBeSent) return 'queued'
    this.#ended.add(requestId, attempt, true)
    return 'absent'
  }

  #requestSchedule (): void {
    if (this.#isScheduleRequested || this.#isStopped) return
    this.#isScheduleRequested = true
    queueMicrotask(() => {
      this.#isScheduleRequested = false
      this.#runSchedule()
    })
  }

  #runSchedule (): void {
    if (!this.#isServing || !this.#context.ownership.hasAuthority(this.#unit)) return
    const decisions = this.#scheduler.schedule(this.#context.clock.readMonotonicMs(), DECISIONS_PER_TURN)
    for (const decision of decisions) this.#applyDecision(decision)
    // The rest is decided in the next turn of the event loop, so that answers are read in between.
    if (decisions.length === DECISIONS_PER_TURN) this.#context.clock.startTimer(0, () => { this.#requestSchedule() })
  }

  #applyDecision (decision: Decision): void {
    if (decision.type === 'start') {
      this.#startAttempt(decision)
      return
    }
    if (decision.type === 'expire') {
      const attempt = this.#attempts.get(decision.item.requestId)
      if (attempt !== undefined) this.#finish(attempt, { type: 'expired' })
      return
    }
    const running = this.#attempts.get(decision.requestId)
    if (running !== undefined) this.#requestAction(running, decision.action)
  }

  #startAttempt (decision: StartDecision): void {
    const attempt = this.#attempts.get(decision.item.requestId)
    if (attempt === undefined) {
      this.#releaseAll(decision.item.requestId, decision.targets.length)
      return
    }
    attempt.targets = decision.targets
    const { clock, metrics } = this.#context
    metrics.recordTiming('shard.wait', clock.readMonotonicMs() - attempt.item.enqueuedAtMs, { urgency: attempt.item.urgency })
    if (!attempt.isIntentNeeded) {
      this.#send(attempt)
      return
    }
    attempt.state = ATTEMPT_STATES.recording
    void this.#recordIntent(attempt).then((reason) => {
      if (reason === undefined) this.#send(attempt)
      else this.#withdrawStart(attempt, reason)
    })
  }

  /** Returns why the attempt must not be sent; undefined when it may. */
  async #recordIntent (attempt: ShardAttempt): Promise<string | undefined> {
    const { network, ownership, clock } = this.#context
    const partition = findPartition(attempt.requestId)
    const home = partition === undefined ? undefined : ownership.findOwner(partition)
    if (home === undefined) return 'the request has no home now'
    const message = {
      requestId: attempt.requestId,
      attempt: attempt.attempt,
      unit: this.#unit,
      epoch: this.#owner.epoch,
      ownerModRevision: this.#owner.modRevision,
      targets: attempt.targets
    }
    const requestedAtMs = clock.readMonotonicMs()
    const reply = await sendCheckedRequest(
      network, home.instance, PEER_MESSAGE_KINDS.recordIntent, message, recordIntentReplySchema, INTENT_TIMEOUT_MS, attempt.trace
    )
    if (!reply.ok) return reply.val.message
    if (!reply.val.isGranted) return reply.val.reason ?? 'not granted'
    if (attempt.isWithdrawn) return 'taken back by the home'
    // The home received the message after it was requested, so the acknowledgement is no older than this.
    const ageMs = clock.readMonotonicMs() - requestedAtMs - (reply.val.heldMs ?? 0)
    return ageMs > INTENT_VALIDITY_MS ? 'the acknowledgement of the intent is too old' : undefined
  }

  /** Sends the attempt in the same turn as the check of the authority, so that nothing can come in between. */
  #send (attempt: ShardAttempt): void {
    // A stopped runner belongs to an earlier epoch, even when this instance owns the unit again.
    if (this.#isStopped || !this.#context.ownership.hasAuthority(this.#unit)) {
      this.#withdrawStart(attempt, 'no authority over the shard')
      return
    }
    attempt.state = ATTEMPT_STATES.sent
    const span = this.#context.spans.startSpan('shard.run', attempt.trace, { requestId: attempt.requestId, attempt: attempt.attempt })
    const timeoutMs = this.#computeTimeoutMs(attempt)
    const runs = attempt.targets.map(async (targetId, taskIndex) => {
      const order = { ...buildOrder(attempt, taskIndex, timeoutMs), trace: span.context }
      return await this.#followTask(attempt, order, targetId, (target) => this.#client.run(target, order))
    })
    void Promise.all(runs).then((reports) => {
      span.end({ end: reports[0]?.type ?? 'none' })
      this.#finishRun(attempt, reports)
    })
  }

  async #followTask (
    attempt: ShardAttempt, order: RunOrder, targetId: TargetId, follow: (target: TargetAddress) => Promise<RunReport>
  ): Promise<RunReport> {
    const target = this.#findAddress(targetId)
    if (target === undefined) {
      this.#releaseTask(order, 'withdrawn')
      return { type: 'notRun', message: 'the target is no longer listed', isLeaving: true }
    }
    const report = await follow(target)
    if (report.type === 'unknown') this.#holdSlot(attempt, order, target)
    else this.#releaseTask(order, convertToRunResult(report))
    if (report.type === 'notRun' && report.isLeaving) this.#suspendTarget(targetId)
    if (report.type === 'failed' && attempt.targets.length > 1) this.#requestStop(attempt)
    return report
  }

  #finishRun (attempt: ShardAttempt, reports: readonly RunReport[]): void {
    const report = mergeReports(reports, attempt.targets)
    if (report === undefined) this.#attempts.delete(attempt.requestId)
    else this.#finish(attempt, report)
  }

  /** Reports the end to the home, and lets the target forget the work once the home has recorded it. */
  #finish (attempt: ShardAttempt, report: AttemptReport): void {
    const { requestId, attempt: number } = attempt
    if (this.#attempts.get(requestId) === attempt) this.#attempts.delete(requestId)
    this.#ended.add(requestId, number, attempt.state === ATTEMPT_STATES.sent)
    if (this.#successor !== undefined && !attempt.isIntentNeeded) this.#sendHandOver(this.#successor, [], [attempt])
    void this.#reporter.report({ requestId, attempt: number, report }, attempt.trace).then((isRecorded) => {
      if (!isRecorded || report.type === 'unknown') return
      attempt.targets.forEach((targetId, taskIndex) => { this.#client.acknowledge(targetId, buildOrder(attempt, taskIndex, 0)) })
    })
    this.#requestSchedule()
  }

  #withdrawStart (attempt: ShardAttempt, reason: string): void {
    this.#context.logger.logInfo(DISPATCH_EVENTS.attemptNotSent, { requestId: attempt.requestId, attempt: attempt.attempt, reason })
    this.#releaseAll(attempt.requestId, attempt.targets.length)
    this.#finish(attempt, { type: 'notRun', message: reason })
  }

  /** Keeps the slot of an unanswered run for a while, asks the target about it, and reports the truth once it is known. */
  #holdSlot (attempt: ShardAttempt, order: RunOrder, target: TargetAddress): void {
    const { clock, logger } = this.#context
    logger.logWarning(DISPATCH_EVENTS.attemptUnknown, { requestId: order.requestId, attempt: order.attempt, target: target.id })
    let isReleased = false
    const release = (): void => {
      if (!isReleased) this.#releaseTask(order, 'lost')
      isReleased = true
    }
    const timer = clock.startTimer(UNKNOWN_SLOT_HOLD_MS, release)
    void this.#client.attach(target, { ...order, timeoutMs: UNKNOWN_FOLLOW_UP_MS }).then((report) => {
      timer.cancel()
      release()
      const merged = mergeReports([report], [target.id])
      const isNews = merged !== undefined && merged.type !== 'unknown'
      if (isNews && attempt.targets.length === 1) this.#finish({ ...attempt }, merged)
    })
  }

  #recoverIntent ({ intent, isUnknownTold }: OpenIntent): void {
    const { clock } = this.#context
    const nowMs = clock.readMonotonicMs()
    const startedAtMs = nowMs - Math.max(0, clock.readWallMs() - intent.recordedWallMs)
    const deadlineAtMs = nowMs + intent.deadlineWallMs - clock.readWallMs()
    const { facts, work, attempt: number, targets } = intent
    const source = { ...facts, work, retries: 0, excludedTargets: [] }
    const attempt: ShardAttempt = {
      requestId: facts.requestId,
      attempt: number,
      item: buildWorkItem(source, startedAtMs, deadlineAtMs),
      work,
      payload: undefined,
      checkpoint: undefined,
      isIntentNeeded: true,
      trace: undefined,
      state: ATTEMPT_STATES.sent,
      targets,
      isWithdrawn: false
    }
    this.#attempts.set(facts.requestId, attempt)
    this.#scheduler.recoverStart({ item: attempt.item, targets, startedAtMs })
    const timeoutMs = isUnknownTold ? UNKNOWN_FOLLOW_UP_MS : this.#computeTimeoutMs(attempt)
    const runs = targets.map(async (targetId, taskIndex) => {
      const order = buildOrder(attempt, taskIndex, timeoutMs)
      return await this.#followRecovered(attempt, order, targetId)
    })
    void Promise.all(runs).then((reports) => { this.#finishRun(attempt, reports) })
  }

  /** The instance list may not have arrived yet, so a target without an address is waited for. */
  async #followRecovered (attempt: ShardAttempt, order: RunOrder, targetId: TargetId): Promise<RunReport> {
    const { clock } = this.#context
    const untilMs = clock.readMonotonicMs() + RECOVERED_TARGET_WAIT_MS
    while (this.#findAddress(targetId) === undefined && clock.readMonotonicMs() < untilMs && !this.#isStopped) {
      await new Promise<void>((resolve) => { clock.startTimer(SCHEDULE_PERIOD_MS, resolve) })
    }
    if (this.#isStopped) return { type: 'detached' }
    if (this.#findAddress(targetId) !== undefined) {
      return await this.#followTask(attempt, order, targetId, (target) => this.#client.attach(target, order))
    }
    this.#releaseTask(order, 'lost')
    const isWorker = this.#unit.startsWith(TARGET_KINDS.worker)
    return { type: isWorker ? 'lost' : 'unknown', message: 'the target is no longer listed' }
  }

  #computeTimeoutMs (attempt: ShardAttempt): number {
    if (this.#unit.startsWith(TARGET_KINDS.worker)) return TASK_TIMEOUT_MS
    return Math.max(1, attempt.item.deadlineAtMs - this.#context.clock.readMonotonicMs())
  }

  #requestStop (attempt: ShardAttempt): void {
    this.#requestAction(attempt, 'stop')
  }

  #requestAction (attempt: ShardAttempt, action: 'stop' | 'checkpoint' | 'throttle'): void {
    attempt.targets.forEach((targetId, taskIndex) => {
      const target = this.#findAddress(targetId)
      if (target !== undefined) void this.#client.requestAction(target, buildOrder(attempt, taskIndex, 0), action)
    })
  }

  #suspendTarget (targetId: TargetId): void {
    this.#context.logger.logInfo(DISPATCH_EVENTS.targetLeaving, { unit: this.#unit, target: targetId })
    this.#scheduler.suspendTarget(targetId, this.#context.clock.readMonotonicMs() + REFUSAL_SUSPENSION_MS)
  }

  #releaseTask (order: RunOrder, result: typeof RUN_RESULTS[keyof typeof RUN_RESULTS]): void {
    this.#scheduler.releaseTask(order.requestId, order.taskIndex, result, this.#context.clock.readMonotonicMs())
    this.#requestSchedule()
  }

  #releaseAll (requestId: RequestId, taskCount: number): void {
    const nowMs = this.#context.clock.readMonotonicMs()
    for (let index = 0; index < taskCount; index++) this.#scheduler.releaseTask(requestId, index, RUN_RESULTS.withdrawn, nowMs)
  }

  #findAddress (targetId: TargetId): TargetAddress | undefined {
    return this.#targets.get(targetId) ?? this.#monitor.findFormerTarget(targetId)
  }

  #countSentByTarget (): Map<TargetId, number> {
    const counts = new Map<TargetId, number>()
    for (const attempt of this.#attempts.values()) {
      for (const targetId of attempt.targets) counts.set(targetId, (counts.get(targetId) ?? 0) + 1)
    }
    return counts
  }

  #sendHandOver (successor: InstanceId, running: readonly ShardAttempt[], ended: readonly ShardAttempt[]): void {
    const message: HandOverMessage = {
      unit: this.#unit,
      running: running.map(({ requestId, attempt, item, work, targets }) => ({
        requestId, attempt, kind: item.kind, customer: item.customer, team: item.team, work, targets: [...targets]
      })),
      ended: ended.map(({ requestId, attempt }) => ({ requestId, attempt }))
    }
    this.#context.network.sendNotice(successor, PEER_MESSAGE_KINDS.handOver, message)
  }
}
