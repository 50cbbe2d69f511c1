import type { RequestId, TargetId, UnitId } from '@hibiscusledge/runtime/identifiers.js'
import { RUN_RESULTS } from '@hibiscusledge/scheduling/decision.js'
import type { ShardScheduler } from '@hibiscusledge/scheduling/shard-scheduler.js'
import { TARGET_KINDS } from '@hibiscusledge/scheduling/target.js'
import type { AttemptReporter } from './attempt-reporter.js'
import type { DispatchContext } from './dispatch-context.js'
import { DISPATCH_EVENTS } from './dispatch-events.js'
import type { AttemptReport } from './dispatch-messages.js'
import type { EndedAttempts } from './ended-attempts.js'
import { ATTEMPT_STATES, buildOrder, buildWorkItem, convertToRunResult, mergeReports, type ShardAttempt } from './shard-attempt.js'
import type { OpenIntent } from './shard-recovery.js'
import type { RunOrder, RunReport, TargetAddress, TargetClient } from './target-client.js'
import { LEASE_MARGIN_MS, WORKER_LEASE_MS } from './worker-session.js'

/** How long a leaving target that refused an order gets no new work while the instance list still shows it as live. */
const REFUSAL_SUSPENSION_MS = 10_000
/** Worker tasks have no answer deadline: the expiry of their leases shows that they have ended. */
const TASK_TIMEOUT_MS = 7 * 24 * 3_600_000
/** How long to poll a target about a run whose outcome is unknown, and how long the slot of that run counts as used. */
const UNKNOWN_POLL_TIMEOUT_MS = 600_000
const UNKNOWN_SLOT_RESERVATION_MS = 60_000
/** Longer than a worker's lease and its margin, so that a task on a worker missing from the list has ended by then. */
const RECOVERED_TARGET_WAIT_MS = WORKER_LEASE_MS + LEASE_MARGIN_MS + 1000
/** How often to look for the target of a recovered attempt in the instance list. */
const TARGET_CHECK_PERIOD_MS = 50

export interface ShardAttemptTrackerOptions {
  readonly context: DispatchContext
  readonly unit: UnitId
  readonly scheduler: ShardScheduler
  readonly client: TargetClient
  readonly reporter: AttemptReporter
  /** Attempts in progress, shared with the runner. */
  readonly attempts: Map<RequestId, ShardAttempt>
  readonly ended: EndedAttempts
  readonly findAddress: (targetId: TargetId) => TargetAddress | undefined
  readonly isStopped: () => boolean
  /** Called when capacity has been released. */
  readonly onReleased: () => void
  /** Called when an attempt has ended, before its end is reported. */
  readonly onFinished: (attempt: ShardAttempt) => void
}

/** Tracks attempts that this or an earlier owner of the shard has sent, until they end, and reports their ends to the coordinators. */
export class ShardAttemptTracker {
  readonly #options: ShardAttemptTrackerOptions

  constructor (options: ShardAttemptTrackerOptions) {
    this.#options = options
  }

  async trackTask (
    attempt: ShardAttempt, order: RunOrder, targetId: TargetId, track: (target: TargetAddress) => Promise<RunReport>
  ): Promise<RunReport> {
    const target = this.#options.findAddress(targetId)
    if (target === undefined) {
      this.#releaseTask(order, 'withdrawn')
      return { type: 'notRun', message: 'the target is no longer listed', isLeaving: true }
    }
    const report = await track(target)
    if (report.type === 'unknown') this.#reserveUnknownSlot(attempt, order, target)
    else this.#releaseTask(order, convertToRunResult(report))
    if (report.type === 'notRun' && report.isLeaving) this.#suspendTarget(targetId)
    if (report.type === 'failed' && attempt.targets.length > 1) this.#requestStop(attempt)
    return report
  }

  finishRun (attempt: ShardAttempt, reports: readonly RunReport[]): void {
    const report = mergeReports(reports, attempt.targets)
    if (report === undefined) this.#options.attempts.delete(attempt.requestId)
    else this.finish(attempt, report)
  }

  /** Reports the end to the coordinator. Once that has recorded it, acknowledges it to the targets, unless it is unknown. */
  finish (attempt: ShardAttempt, report: AttemptReport): void {
    const { requestId, attempt: number } = attempt
    if (this.#options.attempts.get(requestId) === attempt) this.#options.attempts.delete(requestId)
    this.#options.ended.add(requestId, number, attempt.state === ATTEMPT_STATES.sent)
    this.#options.onFinished(attempt)
    void this.#options.reporter.report({ requestId, attempt: number, report }, attempt.trace).then((isRecorded) => {
      if (!isRecorded || report.type === 'unknown') return
      attempt.targets.forEach((targetId, taskIndex) => { this.#options.client.acknowledge(targetId, buildOrder(attempt, taskIndex, 0)) })
    })
    this.#options.onReleased()
  }

  /** Reserves the slot of a run with an unknown outcome, polls its target, and reports the outcome once it is known. */
  #reserveUnknownSlot (attempt: ShardAttempt, order: RunOrder, target: TargetAddress): void {
    const { clock, logger } = this.#options.context
    logger.logWarning(DISPATCH_EVENTS.attemptUnknown, { requestId: order.requestId, attempt: order.attempt, target: target.id })
    let isReleased = false
    const release = (): void => {
      if (!isReleased) this.#releaseTask(order, 'lost')
      isReleased = true
    }
    const timer = clock.startTimer(UNKNOWN_SLOT_RESERVATION_MS, release)
    void this.#options.client.attach(target, { ...order, timeoutMs: UNKNOWN_POLL_TIMEOUT_MS }).then((report) => {
      timer.cancel()
      release()
      const merged = mergeReports([report], [target.id])
      const isKnown = merged !== undefined && merged.type !== 'unknown'
      if (isKnown && attempt.targets.length === 1) this.finish({ ...attempt }, merged)
    })
  }

  recoverIntent ({ intent, isReportedUnknown: isUnknownTold }: OpenIntent): void {
    const { clock } = this.#options.context
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
    this.#options.attempts.set(facts.requestId, attempt)
    this.#options.scheduler.recoverStart({ item: attempt.item, targets, startedAtMs })
    const timeoutMs = isUnknownTold ? UNKNOWN_POLL_TIMEOUT_MS : this.computeTimeoutMs(attempt)
    const runs = targets.map(async (targetId, taskIndex) => {
      const order = buildOrder(attempt, taskIndex, timeoutMs)
      return await this.#trackRecoveredTask(attempt, order, targetId)
    })
    void Promise.all(runs).then((reports) => { this.finishRun(attempt, reports) })
  }

  /** Waits for the address of the target, because the instance list may not have arrived yet, and tracks the task. */
  async #trackRecoveredTask (attempt: ShardAttempt, order: RunOrder, targetId: TargetId): Promise<RunReport> {
    const { clock } = this.#options.context
    const untilMs = clock.readMonotonicMs() + RECOVERED_TARGET_WAIT_MS
    while (this.#options.findAddress(targetId) === undefined && clock.readMonotonicMs() < untilMs && !this.#options.isStopped()) {
      await new Promise<void>((resolve) => { clock.startTimer(TARGET_CHECK_PERIOD_MS, resolve) })
    }
    if (this.#options.isStopped()) return { type: 'detached' }
    if (this.#options.findAddress(targetId) !== undefined) {
      return await this.trackTask(attempt, order, targetId, (target) => this.#options.client.attach(target, order))
    }
    this.#releaseTask(order, 'lost')
    const isWorker = this.#options.unit.startsWith(TARGET_KINDS.worker)
    return { type: isWorker ? 'lost' : 'unknown', message: 'the target is no longer listed' }
  }

  computeTimeoutMs (attempt: ShardAttempt): number {
    if (this.#options.unit.startsWith(TARGET_KINDS.worker)) return TASK_TIMEOUT_MS
    return Math.max(1, attempt.item.deadlineAtMs - this.#options.context.clock.readMonotonicMs())
  }

  #requestStop (attempt: ShardAttempt): void {
    this.requestAction(attempt, 'stop')
  }

  requestAction (attempt: ShardAttempt, action: 'stop' | 'checkpoint' | 'throttle'): void {
    attempt.targets.forEach((targetId, taskIndex) => {
      const target = this.#options.findAddress(targetId)
      if (target !== undefined) void this.#options.client.requestAction(target, buildOrder(attempt, taskIndex, 0), action)
    })
  }

  #suspendTarget (targetId: TargetId): void {
    this.#options.context.logger.logInfo(DISPATCH_EVENTS.targetLeaving, { unit: this.#options.unit, target: targetId })
    this.#options.scheduler.suspendTarget(targetId, this.#options.context.clock.readMonotonicMs() + REFUSAL_SUSPENSION_MS)
  }

  #releaseTask (order: RunOrder, result: typeof RUN_RESULTS[keyof typeof RUN_RESULTS]): void {
    this.#options.scheduler.releaseTask(order.requestId, order.taskIndex, result, this.#options.context.clock.readMonotonicMs())
    this.#options.onReleased()
  }

  releaseTasks (requestId: RequestId, taskCount: number): void {
    const nowMs = this.#options.context.clock.readMonotonicMs()
    for (let index = 0; index < taskCount; index++) this.#options.scheduler.releaseTask(requestId, index, RUN_RESULTS.withdrawn, nowMs)
  }
}
