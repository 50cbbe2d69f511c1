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
 * starts queued work by entitlement, and last preempts and reserves for what is still blocked.
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
    this.#startByEntitlement(fullPasses)
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
    pool.blockedHead = pool.blockedHead?.entry === pass.firstBlocked ? pool.blockedHead : undefined
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
    const entries = pool.newlyAdmitted.filter((entry) => !pool.partiallyTriedClasses.has(entry.item.urgency))
    entries.sort((left, right) => compareUrgency(left, right) || left.sequence - right.sequence)
    for (const entry of entries) {
      if (this.#isDecisionLimitReached()) return
      if (this.#context.queue.find(entry.item.requestId) !== entry) continue
      const demand = computeDemand(pool, this.#context.profiles, entry.item)
      if (pass.findLimit(entry, demand) !== undefined || this.#startIfFitting(pool, entry, demand)) continue
      pass.recordBlocked(entry, pool.isUnderFloor(entry.item.urgency))
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
      const entry = queue.getEarliest()
      if (entry === undefined || entry.item.deadlineAtMs > this.#nowMs) return
      const pool = pools.get(entry.item.pool) as PoolState
      queue.remove(pool, entry)
      reservations.drop(pool, entry.item.requestId)
      this.#decisions.push({ type: 'expire', item: entry.item })
    }
  }

  /**
   * Starts items of the most entitled class of any pool until nothing more fits or the round's limit of decisions is
   * reached. Among pools whose classes rank equally, the one served least recently goes first.
   */
  #startByEntitlement (passes: readonly PoolPass[]): void {
    let served = Math.max(0, ...passes.map((pass) => pass.pool.lastServedSequence))
    while (!this.#isDecisionLimitReached()) {
      const best = this.#choosePass(passes)
      if (best === undefined) return
      const { pass, choice } = best
      const entry = pass.chooseEntry(choice.urgency)
      if (entry === undefined) continue
      const demand = computeDemand(pass.pool, this.#context.profiles, entry.item)
      const limit = pass.findLimit(entry, demand)
      if (limit !== undefined) {
        pass.skipForLimit(entry, limit)
      } else if (this.#startIfFitting(pass.pool, entry, demand)) {
        pass.pool.lastServedSequence = ++served
        pass.recordStart(entry)
      } else {
        pass.recordBlocked(entry, choice.isUnderFloor)
        // Each request of an executor pool needs one slot, so when an unrestricted one finds none, no other does.
        if (pass.pool.isExecutorPool && entry.item.taskCount === 1 && entry.item.excludedTargets.length === 0) pass.close()
        else pass.skip(entry)
      }
    }
  }

  #choosePass (passes: readonly PoolPass[]): { pass: PoolPass, choice: ClassChoice } | undefined {
    let best: { pass: PoolPass, choice: ClassChoice } | undefined
    let bestRank = Infinity
    for (const pass of passes) {
      const choice = pass.chooseClass()
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
  #startIfFitting (pool: PoolState, entry: QueuedItem, demand: ResourceVector): boolean {
    const { item } = entry
    const { accounting } = this.#context
    const isUnreservedKnownToFail = pool.failedPlacements.isKnownToFail(demand, item.taskCount, pool.freedCapacityVersion)
    // A gang doesn't use targets reserved for other items.
    const mayUseReserved = pool.reservedTargets.size > 0 && (item.taskCount === 1 || pool.reservations.has(item.requestId))
    if (isUnreservedKnownToFail && !mayUseReserved) return false
    const query: PlacementQuery = {
      entry,
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
      this.#decisions.push(commitStart(this.#context, pool, entry, { targets, demand, isProbe: false }, this.#nowMs))
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
