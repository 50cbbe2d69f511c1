import { PEER_MESSAGE_KINDS } from '@hibiscusledge/peer/peer-message-kinds.js'
import type { UnitOwner } from '@hibiscusledge/peer/ownership-directory.js'
import type { ShardLoad } from '@hibiscusledge/peer/load-directory.js'
import type { Timer } from '@hibiscusledge/runtime/clock.js'
import type { InstanceId, RequestId, TargetId, UnitId } from '@hibiscusledge/runtime/identifiers.js'
import type { TraceContext } from '@hibiscusledge/runtime/trace-context.js'
import type { Decision, StartDecision } from '@hibiscusledge/scheduling/decision.js'
import type { PoolPolicy } from '@hibiscusledge/scheduling/pool-policy.js'
import type { ShardScheduler, WaitExplanation } from '@hibiscusledge/scheduling/shard-scheduler.js'
import { TARGET_KINDS, type Target } from '@hibiscusledge/scheduling/target.js'
import { ShardAttemptTracker } from './shard-attempt-tracker.js'
import { AttemptAdmission } from './attempt-admission.js'
import type { AttemptReporter } from './attempt-reporter.js'
import type { DispatchContext } from './dispatch-context.js'
import { DISPATCH_EVENTS } from './dispatch-events.js'
import type { EnqueueMessage, EnqueueReply, HandOverMessage, WithdrawMessage, WithdrawReply } from './dispatch-messages.js'
import { requestIntent } from './request-intent.js'
import { ATTEMPT_STATES, buildOrder, type ShardAttempt } from './shard-attempt.js'
import { buildHandOver, convertToRecoveredStart } from './shard-hand-over.js'
import { EndedAttempts } from './ended-attempts.js'
import { InheritedRuns } from './inherited-runs.js'
import { fetchOpenIntents } from './shard-recovery.js'
import type { TargetClient } from './target-client.js'
import { TargetMonitor } from './target-monitor.js'

const SCHEDULING_PERIOD_MS = 50
const DECISIONS_PER_ROUND = 64

export interface ShardRunnerOptions {
  readonly context: DispatchContext
  readonly unit: UnitId
  readonly owner: UnitOwner
  readonly scheduler: ShardScheduler
  readonly client: TargetClient
  readonly reporter: AttemptReporter
}

/** Queues, schedules and sends the attempts of one shard. */
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
  readonly #tracker: ShardAttemptTracker
  readonly #monitor: TargetMonitor
  readonly #inheritedRuns: InheritedRuns
  readonly #admission: AttemptAdmission
  /** Runs only while there are attempts, so that an idle shard uses no CPU time. */
  #timer: Timer | undefined
  #successor: InstanceId | undefined
  #isServing = false
  #isStopped = false
  #isSchedulingRoundRequested = false

  constructor (options: ShardRunnerOptions) {
    this.#context = options.context
    this.#unit = options.unit
    this.#owner = options.owner
    this.#scheduler = options.scheduler
    this.#client = options.client
    this.#reporter = options.reporter
    this.#ended = new EndedAttempts(options.context.clock)
    this.#monitor = new TargetMonitor(options.context, options.scheduler, options.client, () => this.#targets.values())
    this.#inheritedRuns = new InheritedRuns(options.scheduler, options.context.clock, () => { this.#requestSchedulingRound() })
    this.#tracker = new ShardAttemptTracker({
      ...options,
      attempts: this.#attempts,
      ended: this.#ended,
      findAddress: (targetId) => this.#targets.get(targetId) ?? this.#monitor.findFormerTarget(targetId),
      isStopped: () => this.#isStopped,
      onReleased: () => { this.#requestSchedulingRound() },
      onFinished: (attempt) => {
        if (this.#successor !== undefined && !attempt.isIntentNeeded) this.#sendHandOver(this.#successor, [], [attempt])
      }
    })
    this.#admission = new AttemptAdmission({
      context: options.context,
      scheduler: options.scheduler,
      attempts: this.#attempts,
      ended: this.#ended,
      requestStop: (attempt) => { this.#tracker.requestAction(attempt, 'stop') },
      onAdmitted: () => {
        this.#requestSchedulingRound()
        this.#startTimer()
      }
    })
  }

  /** Recovers the attempts that earlier owners have started, so that their capacity counts as used, and starts serving. */
  async start (partitions: readonly UnitId[]): Promise<void> {
    const { store, clock, logger } = this.#context
    const open = await fetchOpenIntents(store, partitions, this.#unit, clock, logger, () => !this.#isStopped)
    for (const intent of open) this.#tracker.recoverIntent(intent)
    if (this.#unit.startsWith(TARGET_KINDS.executor)) await this.#monitor.countInheritedRuns(this.#inheritedRuns, this.#countSentByTarget())
    this.#isServing = !this.#isStopped
    if (open.length > 0) logger.logInfo(DISPATCH_EVENTS.shardRecovered, { unit: this.#unit, intents: open.length })
  }

  applyPools (pools: readonly PoolPolicy[]): void {
    this.#scheduler.applyPools(pools, this.#context.clock.readMonotonicMs())
    this.#requestSchedulingRound()
  }

  applyTargets (targets: readonly Target[]): void {
    this.#targets.clear()
    for (const target of targets) this.#targets.set(target.id, target)
    this.#scheduler.applyTargets(targets, this.#context.clock.readMonotonicMs())
    this.#requestSchedulingRound()
  }

  enqueue (message: EnqueueMessage, trace: TraceContext | undefined): EnqueueReply {
    if (!this.#isServing || message.epoch !== this.#owner.epoch) return { type: 'notOwner' }
    return this.#admission.enqueue(message, trace)
  }

  withdraw (message: WithdrawMessage): WithdrawReply['state'] {
    return this.#admission.withdraw(message)
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

  /** Returns the queued attempts to their coordinators and sends the successor the list of running attempts. */
  async prepareHandOver (successor: InstanceId): Promise<void> {
    this.#isServing = false
    this.#successor = successor
    for (const item of this.#scheduler.drainQueue()) {
      const attempt = this.#attempts.get(item.requestId)
      if (attempt !== undefined) this.#tracker.finish(attempt, { type: 'notRun', message: 'the shard is handed over' })
    }
    const isRecording = (): boolean => [...this.#attempts.values()].some((attempt) => attempt.state === ATTEMPT_STATES.recording)
    while (isRecording() && !this.#isStopped) {
      await new Promise<void>((resolve) => { this.#context.clock.startTimer(SCHEDULING_PERIOD_MS, resolve) })
    }
    this.#sendHandOver(successor, [...this.#attempts.values()].filter((attempt) => !attempt.isIntentNeeded), [])
  }

  /** Applies the former owner's lists of attempts that still run and that have ended. */
  applyHandOver (message: HandOverMessage): void {
    const nowMs = this.#context.clock.readMonotonicMs()
    for (const running of message.running) this.#inheritedRuns.add(running.attempt, convertToRecoveredStart(running, nowMs))
    for (const ended of message.ended) this.#inheritedRuns.release(ended.requestId, ended.attempt)
  }

  /** Stops scheduling, and detaches worker tasks. The ends of attempts on executors are still reported to their coordinators. */
  stop (): void {
    this.#isStopped = true
    this.#isServing = false
    this.#timer?.cancel()
    this.#monitor.stop()
    this.#inheritedRuns.stop()
    for (const [requestId, attempt] of this.#attempts) {
      if (attempt.state !== ATTEMPT_STATES.queued) continue
      this.#attempts.delete(requestId)
      this.#ended.add(requestId, attempt.attempt, false)
    }
    if (this.#unit.startsWith(TARGET_KINDS.worker)) for (const targetId of this.#targets.keys()) this.#client.detach(targetId)
  }

  /** Runs scheduling rounds periodically, because deadlines, suspensions and reservations expire without any message. */
  #startTimer (): void {
    if (this.#isStopped) return
    this.#timer ??= this.#context.clock.startTimer(SCHEDULING_PERIOD_MS, () => {
      this.#timer = undefined
      this.#requestSchedulingRound()
      if (this.#attempts.size > 0) this.#startTimer()
    })
  }

  #requestSchedulingRound (): void {
    if (this.#isSchedulingRoundRequested || this.#isStopped) return
    this.#isSchedulingRoundRequested = true
    queueMicrotask(() => {
      this.#isSchedulingRoundRequested = false
      this.#runSchedulingRound()
    })
  }

  #runSchedulingRound (): void {
    if (!this.#isServing || !this.#context.ownership.hasAuthority(this.#unit)) return
    const decisions = this.#scheduler.schedule(this.#context.clock.readMonotonicMs(), DECISIONS_PER_ROUND)
    for (const decision of decisions) this.#applyDecision(decision)
    // Further decisions are left to the next turn of the event loop, so that answers are read in between.
    if (decisions.length === DECISIONS_PER_ROUND) this.#context.clock.startTimer(0, () => { this.#requestSchedulingRound() })
  }

  #applyDecision (decision: Decision): void {
    if (decision.type === 'start') {
      this.#startAttempt(decision)
      return
    }
    if (decision.type === 'expire') {
      const attempt = this.#attempts.get(decision.item.requestId)
      if (attempt !== undefined) this.#tracker.finish(attempt, { type: 'expired' })
      return
    }
    const running = this.#attempts.get(decision.requestId)
    if (running !== undefined) this.#tracker.requestAction(running, decision.action)
  }

  #startAttempt (decision: StartDecision): void {
    const attempt = this.#attempts.get(decision.item.requestId)
    if (attempt === undefined) {
      this.#tracker.releaseTasks(decision.item.requestId, decision.targets.length)
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
    void requestIntent(this.#context, this.#unit, this.#owner, attempt).then((reason) => {
      if (reason === undefined) this.#send(attempt)
      else this.#cancelStart(attempt, reason)
    })
  }

  /** Sends the attempt in the same turn of the event loop as the authority check, so that authority can't be lost in between. */
  #send (attempt: ShardAttempt): void {
    // A stopped runner belongs to an earlier epoch, even if this instance owns the unit again.
    if (this.#isStopped || !this.#context.ownership.hasAuthority(this.#unit)) {
      this.#cancelStart(attempt, 'no authority over the shard')
      return
    }
    attempt.state = ATTEMPT_STATES.sent
    const span = this.#context.spans.startSpan('shard.run', attempt.trace, { requestId: attempt.requestId, attempt: attempt.attempt })
    const timeoutMs = this.#tracker.computeTimeoutMs(attempt)
    const runs = attempt.targets.map(async (targetId, taskIndex) => {
      const order = { ...buildOrder(attempt, taskIndex, timeoutMs), trace: span.context }
      return await this.#tracker.trackTask(attempt, order, targetId, (target) => this.#client.run(target, order))
    })
    void Promise.all(runs).then((reports) => {
      span.end({ end: reports[0]?.type ?? 'none' })
      this.#tracker.finishRun(attempt, reports)
    })
  }

  #cancelStart (attempt: ShardAttempt, reason: string): void {
    this.#context.logger.logInfo(DISPATCH_EVENTS.attemptNotSent, { requestId: attempt.requestId, attempt: attempt.attempt, reason })
    this.#tracker.releaseTasks(attempt.requestId, attempt.targets.length)
    this.#tracker.finish(attempt, { type: 'notRun', message: reason })
  }

  #countSentByTarget (): Map<TargetId, number> {
    const counts = new Map<TargetId, number>()
    for (const attempt of this.#attempts.values()) {
      for (const targetId of attempt.targets) counts.set(targetId, (counts.get(targetId) ?? 0) + 1)
    }
    return counts
  }

  #sendHandOver (successor: InstanceId, running: readonly ShardAttempt[], ended: readonly ShardAttempt[]): void {
    this.#context.network.sendNotification(successor, PEER_MESSAGE_KINDS.handOver, buildHandOver(this.#unit, running, ended))
  }
}
