import { type ResourceVector, countFits } from './resource-vector.js'
import type { ClassChoice } from './class-chooser.js'
import type { Decision } from './decision.js'
import { computeDemand } from './item-demand.js'
import { startProbes } from './probe-starter.js'
import { commitStart } from './start-committer.js'
import { findTarget, type PlacementQuery } from './target-finder.js'
import { PoolPass } from './pool-pass.js'
import type { PoolState } from './pool-state.js'
import { compareUrgency, type QueuedItem } from './queued-item.js'
import { BlockedItemHandler } from './blocked-item-handler.js'
import { RuntimeEstimator } from './runtime-estimator.js'
import type { SchedulerContext } from './scheduler-context.js'
import type { TargetState } from './target-state.js'
import { URGENCIES } from './urgency.js'

/**
 * One scheduling round, that is one call of `schedule`: expires queued items, starts probes and reserved items, then
 * starts other queued items in order, and last preempts and reserves for what is still blocked. The order: classes under their
 * floor by deficit, then classes by urgency; within a class, teams by quota use; within a team, items by deadline.
 */
export class SchedulingRound {
  readonly #context: SchedulerContext
  readonly #nowMs: number
  readonly #maxDecisions: number
  readonly #estimator: RuntimeEstimator
  readonly #blockedItems: BlockedItemHandler
  readonly #decisions: Decision[] = []

  constructor (context: SchedulerContext, nowMs: number, maxDecisions: number) {
    this.#context = context
    this.#nowMs = nowMs
    this.#maxDecisions = maxDecisions
    this.#estimator = new RuntimeEstimator(context.profiles, nowMs)
    this.#blockedItems = new BlockedItemHandler(context, nowMs)
  }

  run (): readonly Decision[] {
    this.#expireQueued()
    const passes: PoolPass[] = []
    for (const pool of this.#context.pools.values()) {
      for (const urgency of URGENCIES) pool.rates[urgency].advance(this.#nowMs)
      if (!pool.hasBacklog()) pool.newlyAdmitted.length = 0
      if (pool.policy === undefined || pool.targets.length === 0 || !pool.hasBacklog()) continue
      this.#blockedItems.refreshReservations(pool)
      passes.push(new PoolPass(pool, this.#context.settings))
    }
    this.#decisions.push(...startProbes(this.#context, passes, this.#nowMs, this.#maxDecisions - this.#decisions.length))
    this.#startReserved(passes)
    const fullPasses = passes.filter((pass) => this.#isFullPassDue(pass.pool))
    this.#startQueued(fullPasses)
    for (const pass of passes) {
      if (fullPasses.includes(pass)) this.#finishFullPass(pass)
      else this.#startNewlyAdmitted(pass)
      if (this.#isDecisionLimitReached()) pass.pool.exhaustedCapacityVersion = -1
      pass.pool.newlyAdmitted.length = 0
    }
    for (const pool of this.#context.pools.values()) {
      for (const urgency of URGENCIES) pool.rates[urgency].setBacklogged(pool.queues[urgency].size > 0)
    }
    return this.#decisions
  }

  /** Whether items other than the newly admitted ones may have become startable. */
  #isFullPassDue (pool: PoolState): boolean {
    return pool.exhaustedCapacityVersion !== pool.freedCapacityVersion ||
      this.#nowMs - pool.lastFullPassAtMs >= this.#context.settings.fullPassIntervalMs
  }

  #finishFullPass (pass: PoolPass): void {
    const { pool } = pass
    pool.exhaustedCapacityVersion = pool.freedCapacityVersion
    pool.lastFullPassAtMs = this.#nowMs
    pool.partiallyTriedClasses = pass.partiallyTriedClasses
    pool.blockedHead = pool.blockedHead?.queued === pass.firstBlocked ? pool.blockedHead : undefined
    this.#handleBlocked(pass)
    // Replacing reservations raises the version, but it only moves targets between holders and frees no capacity.
    pool.exhaustedCapacityVersion = pool.freedCapacityVersion
  }

  /**
   * Tries only the items admitted since the last pass; a full pass found that nothing else fits. Skips classes with items
   * that the full pass did not try, since those go first.
   */
  #startNewlyAdmitted (pass: PoolPass): void {
    const { pool } = pass
    const queuedItems = pool.newlyAdmitted.filter((queued) => !pool.partiallyTriedClasses.has(queued.item.urgency))
    queuedItems.sort((left, right) => compareUrgency(left, right) || left.sequence - right.sequence)
    for (const queued of queuedItems) {
      if (this.#isDecisionLimitReached()) return
      if (this.#context.queue.find(queued.item.requestId) !== queued) continue
      const demand = computeDemand(pool, this.#context.profiles, queued.item)
      if (pass.findLimit(queued, demand) !== undefined || this.#startIfFitting(pool, queued, demand)) continue
      pass.recordBlocked(queued, pool.isUnderFloor(queued.item.urgency))
    }
    this.#handleBlocked(pass)
  }

  #handleBlocked (pass: PoolPass): void {
    if (this.#isDecisionLimitReached()) return
    this.#decisions.push(...this.#blockedItems.preemptForUrgent(pass, this.#maxDecisions - this.#decisions.length))
    this.#blockedItems.reserveForFloors(pass)
    this.#blockedItems.reserveForHead(pass)
  }

  #isDecisionLimitReached (): boolean {
    return this.#decisions.length >= this.#maxDecisions
  }

  #expireQueued (): void {
    const { pools, queue, reservations } = this.#context
    while (!this.#isDecisionLimitReached()) {
      const queued = queue.getEarliest()
      if (queued === undefined || queued.item.deadlineAtMs > this.#nowMs) return
      const pool = pools.get(queued.item.pool) as PoolState
      queue.remove(pool, queued)
      reservations.drop(pool, queued.item.requestId)
      this.#decisions.push({ type: 'expire', item: queued.item })
    }
  }

  /**
   * Starts items, each time of the first class among those of all pools, until nothing more fits or the round's limit of
   * decisions is reached. Classes under their floor go first, then the most urgent. Among pools whose classes rank equally,
   * the one served least recently goes first.
   */
  #startQueued (passes: readonly PoolPass[]): void {
    let served = Math.max(0, ...passes.map((pass) => pass.pool.lastServedSequence))
    while (!this.#isDecisionLimitReached()) {
      const best = this.#choosePass(passes)
      if (best === undefined) return
      const { pass, choice } = best
      const queued = pass.chooseNextItem(choice.urgency)
      if (queued === undefined) continue
      const demand = computeDemand(pass.pool, this.#context.profiles, queued.item)
      const limit = pass.findLimit(queued, demand)
      if (limit !== undefined) {
        pass.skipForLimit(queued, limit)
      } else if (this.#startIfFitting(pass.pool, queued, demand)) {
        pass.pool.lastServedSequence = ++served
        pass.recordStart(queued)
      } else {
        pass.recordBlocked(queued, choice.isUnderFloor)
        // Each request of an executor pool needs one slot, so when an unrestricted one finds none, no other does.
        if (pass.pool.isExecutorPool && queued.item.taskCount === 1 && queued.item.excludedTargets.length === 0) pass.finish()
        else pass.skip(queued)
      }
    }
  }

  #choosePass (passes: readonly PoolPass[]): { pass: PoolPass, choice: ClassChoice } | undefined {
    let best: { pass: PoolPass, choice: ClassChoice } | undefined
    let bestRank = Infinity
    for (const pass of passes) {
      const choice = pass.chooseNextClass()
      if (choice === undefined) continue
      const rank = choice.isUnderFloor ? -1 : URGENCIES.indexOf(choice.urgency)
      if (rank > bestRank ||
        (rank === bestRank && best !== undefined && pass.pool.lastServedSequence >= best.pass.pool.lastServedSequence)) continue
      best = { pass, choice }
      bestRank = rank
    }
    return best
  }

  /** Starts the holders of reservations whose targets now have enough free capacity, the most urgent first. */
  #startReserved (passes: readonly PoolPass[]): void {
    for (const pass of passes) {
      const { pool } = pass
      const reservations = [...pool.reservations.values()]
      reservations.sort((left, right) => compareUrgency(left.holder, right.holder) || left.holder.sequence - right.holder.sequence)
      for (const { holder, targets } of reservations) {
        if (this.#isDecisionLimitReached()) return
        const demand = computeDemand(pool, this.#context.profiles, holder.item)
        const fits = targets.reduce((sum, target) => sum + countFits(demand, target.free), 0)
        if (fits >= holder.item.taskCount && pass.findLimit(holder, demand) === undefined) this.#startIfFitting(pool, holder, demand)
      }
    }
  }

  /** Places all tasks of an item and starts it. Returns whether it started; if not, no capacity stays charged to it. */
  #startIfFitting (pool: PoolState, queued: QueuedItem, demand: ResourceVector): boolean {
    const { item } = queued
    const { accounting } = this.#context
    const isUnreservedKnownToFail = pool.failedPlacements.isKnownToFail(demand, item.taskCount, pool.freedCapacityVersion)
    // A gang doesn't use targets reserved for other items.
    const mayUseReserved = pool.reservedTargets.size > 0 && (item.taskCount === 1 || pool.reservations.has(item.requestId))
    if (isUnreservedKnownToFail && !mayUseReserved) return false
    const query: PlacementQuery = {
      queued,
      demand,
      endsAtMs: mayUseReserved ? this.#estimator.estimateEndOfItem(item) : Infinity,
      servicesByRack: item.isService ? accounting.readServicesByRack(item) : undefined,
      isUnreservedKnownToFail
    }
    const targets: TargetState[] = []
    for (let taskIndex = 0; taskIndex < item.taskCount; taskIndex++) {
      const target = findTarget(pool, query)
      if (target === undefined) break
      accounting.addUse(pool, item, target, demand, 1)
      targets.push(target)
    }
    if (targets.length === item.taskCount) {
      this.#decisions.push(commitStart(this.#context, pool, queued, { targets, demand, isProbe: false }, this.#nowMs))
      return true
    }
    const version = pool.freedCapacityVersion
    for (const target of targets) accounting.addUse(pool, item, target, demand, -1)
    // Undoing a partial placement frees no capacity that was not free before, so the version must not grow.
    pool.freedCapacityVersion = version
    // Only a failure that depends on the demand alone applies to other items as well.
    const isComparable = item.excludedTargets.length === 0 && !pool.reservations.has(item.requestId)
    if (isComparable && !isUnreservedKnownToFail) pool.failedPlacements.record(demand, item.taskCount, version)
    return false
  }
}
