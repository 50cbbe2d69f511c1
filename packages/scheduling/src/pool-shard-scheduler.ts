import type { RequestId, TargetId } from '@hibiscusledge/runtime/identifiers.js'
import { type ResourceVector, convertDemand, computeElementwiseMax, computeElementwiseMin } from './resource-vector.js'
import { CapacityAccounting } from './capacity-accounting.js'
import type { Admission, Decision, RunResult } from './decision.js'
import { FailureMonitor } from './failure-monitor.js'
import { KindProfiles } from './kind-profiles.js'
import { reportLoad } from './load-reporter.js'
import type { PoolPolicy } from './pool-policy.js'
import { PoolState } from './pool-state.js'
import { ProgressMonitor } from './progress-monitor.js'
import type { QueuedItem } from './queued-item.js'
import { RequestQueue } from './request-queue.js'
import { ReservationRegistry } from './reservation-registry.js'
import type { Resources } from './resources.js'
import { RetryBudgets } from './retry-budgets.js'
import { DEFAULT_SCHEDULER_SETTINGS, type SchedulerSettings } from './scheduler-settings.js'
import { SchedulingRound } from './scheduling-round.js'
import type { PoolLoad, RecoveredStart, ShardScheduler, WaitExplanation } from './shard-scheduler.js'
import { type Target, TARGET_KINDS, TARGET_LIFECYCLE_STATES } from './target.js'
import type { TargetState } from './target-state.js'
import { TargetRegistry } from './target-registry.js'
import { explainReason } from './wait-explainer.js'
import { estimateWaitMs } from './wait-estimator.js'
import type { WorkItem } from './work-item.js'
import { computeItemShare } from './feasibility-check.js'
import { AdmissionControl } from './admission-control.js'
import type { SchedulerContext } from './scheduler-context.js'

/** Implements the scheduler of one shard, with a queue and limits for each pool. */
export class PoolShardScheduler implements ShardScheduler {
  readonly #context: SchedulerContext
  readonly #admission: AdmissionControl
  readonly #failures: FailureMonitor
  readonly #progress: ProgressMonitor
  readonly #retries: RetryBudgets

  constructor (settings: Partial<SchedulerSettings> = {}) {
    const allSettings = { ...DEFAULT_SCHEDULER_SETTINGS, ...settings }
    const targets = new TargetRegistry()
    this.#failures = new FailureMonitor(allSettings)
    this.#context = {
      settings: allSettings,
      targets,
      pools: new Map(),
      queue: new RequestQueue(),
      accounting: new CapacityAccounting(targets),
      reservations: new ReservationRegistry(targets),
      profiles: new KindProfiles(allSettings),
      failures: this.#failures
    }
    this.#admission = new AdmissionControl(this.#context)
    this.#progress = new ProgressMonitor(allSettings)
    this.#retries = new RetryBudgets(allSettings)
  }

  applyPools (pools: readonly PoolPolicy[], _nowMs: number): void {
    for (const pool of this.#context.pools.values()) pool.policy = undefined
    for (const policy of pools) this.#ensurePool(policy.name).policy = policy
    this.#refreshPoolMembership(new Set())
  }

  applyTargets (targets: readonly Target[], nowMs: number): void {
    // The list is polled every second and rarely changes, so membership is only updated when a target changed.
    const changed = this.#context.targets.apply(targets, nowMs)
    if (changed.size > 0) this.#refreshPoolMembership(changed)
  }

  suspendTarget (targetId: TargetId, untilMs: number): void {
    const state = this.#context.targets.get(targetId)
    if (state === undefined) return
    state.suspendedUntilMs = Math.max(untilMs, state.suspendedUntilMs ?? 0)
    this.#dropReservationOn(state)
    this.#context.targets.refresh(state, false)
  }

  admit (item: WorkItem, nowMs: number): Admission {
    const admission = this.#admission.admit(item, nowMs)
    if (admission.isAdmitted && item.attempt <= 1) this.#retries.recordFirstAttempt(item)
    return admission
  }

  recoverStart (start: RecoveredStart): void {
    const { accounting, queue, targets } = this.#context
    const { item } = start
    if (accounting.has(item.requestId)) return
    const pool = this.#ensurePool(item.pool)
    const queued = queue.find(item.requestId)
    if (queued !== undefined) this.#removeQueued(pool, queued)
    const states = start.targets.map((targetId) => targets.ensure(targetId, () => this.#describeUnknownTarget(targetId)))
    // The kind of a target is unknown until it is listed, so both a slot and the resources are charged.
    const slots = states.every((state) => state.isListed && state.target.kind === TARGET_KINDS.worker) ? 0 : 1
    const allocated = { ...convertDemand(item.resources), slots }
    for (const state of states) accounting.addUse(pool, item, state, allocated, 1)
    accounting.register(pool, item, states, allocated, false, start.startedAtMs)
  }

  cancelQueued (requestIds: readonly RequestId[]): readonly RequestId[] {
    const cancelled: RequestId[] = []
    for (const requestId of requestIds) {
      const queued = this.#context.queue.find(requestId)
      if (queued === undefined) continue
      this.#removeQueued(this.#ensurePool(queued.item.pool), queued)
      cancelled.push(requestId)
    }
    return cancelled
  }

  drainQueue (): readonly WorkItem[] {
    const queuedItems = this.#context.queue.listByArrival()
    for (const queued of queuedItems) this.#removeQueued(this.#ensurePool(queued.item.pool), queued)
    return queuedItems.map((queued) => queued.item)
  }

  schedule (nowMs: number, maxDecisions: number): readonly Decision[] {
    return new SchedulingRound(this.#context, nowMs, maxDecisions).run()
  }

  releaseTask (requestId: RequestId, taskIndex: number, result: RunResult, nowMs: number): void {
    const { accounting, profiles, targets } = this.#context
    const task = accounting.getTask(requestId, taskIndex)
    if (task === undefined) return
    const { item, startedAtMs } = task.request
    const pool = this.#ensurePool(item.pool)
    accounting.release(pool, requestId, taskIndex)
    if (result === 'succeeded' && !item.isService) {
      const runtimeMs = Math.max(0, nowMs - startedAtMs)
      profiles.recordRuntime(item.kind, runtimeMs)
      pool.rates[item.urgency].recordWork(computeItemShare(pool, task.charged, item.taskCount) * runtimeMs / 1_000)
    }
    if (this.#failures.recordOutcome(task.targetState, result, task.isProbe, nowMs)) {
      if (task.targetState.isQuarantined) this.#dropReservationOn(task.targetState)
      targets.refresh(task.targetState, true)
    }
  }

  recordUsage (requestId: RequestId, taskIndex: number, usage: Resources, _nowMs: number): void {
    const task = this.#context.accounting.getTask(requestId, taskIndex)
    if (task === undefined || task.allocated.slots > 0) return
    this.#context.profiles.recordUsage(task.request.item.kind, usage)
    // Usage beyond the allocation is charged too, which keeps new work off the worker; no more than the worker's size is charged.
    const observed = computeElementwiseMin(convertDemand(usage), task.targetState.capacity)
    const charged: ResourceVector = { ...computeElementwiseMax(task.allocated, observed), slots: 0 }
    const { cores, memoryMb, accelerators } = task.charged
    if (charged.cores === cores && charged.memoryMb === memoryMb && charged.accelerators === accelerators) return
    this.#context.accounting.updateCharged(this.#ensurePool(task.request.item.pool), task, charged)
  }

  recordProgress (targetId: TargetId, progress: number, running: number, nowMs: number): void {
    const state = this.#context.targets.get(targetId)
    if (state === undefined || !this.#progress.record(state, progress, running, nowMs)) return
    if (state.isHung) this.#dropReservationOn(state)
    this.#context.targets.refresh(state, true)
  }

  claimRetry (item: WorkItem, nowMs: number): boolean {
    return this.#retries.claim(item, nowMs)
  }

  reportLoads (_nowMs: number): readonly PoolLoad[] {
    const listed = [...this.#context.pools.values()].filter((pool) => pool.policy !== undefined)
    return listed.map((pool) => reportLoad(pool, this.#context.settings))
  }

  explainWait (requestId: RequestId, nowMs: number): WaitExplanation | undefined {
    const queued = this.#context.queue.find(requestId)
    if (queued === undefined) return undefined
    const { item } = queued
    const pool = this.#ensurePool(item.pool)
    const demand = this.#admission.computeDemand(pool, item)
    const position = pool.queues[item.urgency].computePosition(queued)
    const query = this.#admission.buildWaitQuery(pool, item)
    return {
      requestId,
      pool: item.pool,
      urgency: item.urgency,
      position,
      estimatedWaitMs: estimateWaitMs(pool, query),
      reason: explainReason(pool, queued, demand, position, nowMs)
    }
  }

  #ensurePool (name: string): PoolState {
    const { pools, settings } = this.#context
    let pool = pools.get(name)
    if (pool === undefined) {
      pool = new PoolState(name, settings)
      pools.set(name, pool)
    }
    return pool
  }

  /** Assigns targets to pools again. Drops all reservations, to be planned again, since their targets may have left the pool. */
  #refreshPoolMembership (changed: ReadonlySet<TargetState>): void {
    const { pools, targets, reservations } = this.#context
    for (const [name, pool] of pools) {
      if (pool.policy === undefined && !pool.hasBacklog() && !pool.hasRunningTasks()) pools.delete(name)
    }
    for (const pool of pools.values()) {
      for (const requestId of pool.reservations.keys()) reservations.drop(pool, requestId)
    }
    targets.assignPools(pools.values(), changed)
    for (const state of this.#failures.prune()) targets.refresh(state, true)
  }

  #removeQueued (pool: PoolState, queued: QueuedItem): void {
    this.#context.queue.remove(pool, queued)
    this.#context.reservations.drop(pool, queued.item.requestId)
  }

  #dropReservationOn (state: TargetState): void {
    const { reservation } = state
    if (reservation === undefined) return
    this.#context.reservations.drop(this.#ensurePool(reservation.holder.item.pool), reservation.holder.item.requestId)
  }

  #describeUnknownTarget (id: TargetId): Target {
    return {
      id,
      kind: TARGET_KINDS.worker,
      address: '',
      state: TARGET_LIFECYCLE_STATES.leaving,
      failureDomain: '' as Target['failureDomain'],
      rack: '',
      labels: {},
      capacity: { cores: 0, memoryMb: 0, accelerators: 0 },
      slots: 0,
      connections: 0
    }
  }
}
