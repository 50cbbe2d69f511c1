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

/** One call of `schedule`. */
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

  /** Whether more than the fresh items of a pool may have become startable. */
  #isFullPassDue (pool: PoolState): boolean {
    return pool.exhaustedCapacityVersion !== pool.freedCapacityVersion || this.#nowMs - pool.lastFullPassAtMs >= this.#context.settings.fullPassIntervalMs
  }

  #finishFullPass (pass: PoolPass): void {
    const { pool } = pass
    pool.exhaustedCapacityVersion = pool.freedCapacityVersion
    pool.lastFullPassAtMs = this.#nowMs
    pool.partiallyTriedClasses = pass.partiallyTriedClasses
    pool.blockedHead = pool.blockedHead?.entry === pass.firstBlocked ? pool.blockedHead : undefined
    this.#handleBlocked(pass)
    // A reservation takes targets away but frees nothing.
    pool.exhaustedCapacityVersion = pool.freedCapacityVersion
  }

  /** Tries only what was admitted since a full pass found that nothing else fits. */
  #startNewlyAdmitted (pass: PoolPass): void {
    const { pool } = pass
    const fresh = pool.newlyAdmitted.filter((entry) => !pool.partiallyTriedClasses.has(entry.item.urgency))
    fresh.sort((left, right) => compareUrgency(left, right) || left.sequence - right.sequence)
    for (const entry of fresh) {
      if (this.#isDecisionLimitReached()) return
      if (this.#context.queue.find(entry.item.requestId) !== entry) continue
      const needed = computeDemand(pool, this.#context.profiles, entry.item)
      if (pass.findLimit(entry, needed) !== undefined || this.#startIfFitting(pool, entry, needed)) continue
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

  /** Serves the most entitled class of any pool until nothing more fits. Pools of equal rank take turns. */
  #startByEntitlement (passes: readonly PoolPass[]): void {
    let served = Math.max(0, ...passes.map((pass) => pass.pool.lastServedSequence))
    while (!this.#isDecisionLimitReached()) {
      const best = this.#choosePass(passes)
      if (best === undefined) return
      const { pass, choice } = best
      const entry = pass.chooseEntry(choice.urgency)
      if (entry === undefined) continue
      const needed = computeDemand(pass.pool, this.#context.profiles, entry.item)
      const limit = pass.findLimit(entry, needed)
      if (limit !== undefined) {
        pass.skipForLimit(entry, limit)
      } else if (this.#startIfFitting(pass.pool, entry, needed)) {
        pass.pool.lastServedSequence = ++served
        pass.recordStart(entry)
      } else {
        pass.recordBlocked(entry, choice.isUnderFloor)
        // Every other request of an executor pool needs a slot as well.
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
      if (rank > bestRank || (rank === bestRank && best !== undefined && pass.pool.lastServedSequence >= best.pass.pool.lastServedSequence)) continue
      best = { pass, choice }
      bestRank = rank
    }
    return best
  }

  #startReserved (passes: readonly PoolPass[]): void {
    for (const pass of passes) {
      const { pool } = pass
      const reservations = [...pool.reservations.values()]
      reservations.sort((left, right) => compareUrgency(left.holder, right.holder) || left.holder.sequence - right.holder.sequence)
      for (const { holder, targets } of reservations) {
        if (this.#isDecisionLimitReached()) return
        const needed = computeDemand(pool, this.#context.profiles, holder.item)
        const hosts = targets.reduce((sum, target) => sum + countFits(needed, target.free), 0)
        if (hosts >= holder.item.taskCount && pass.findLimit(holder, needed) === undefined) this.#startIfFitting(pool, holder, needed)
      }
    }
  }

  #startIfFitting (pool: PoolState, entry: QueuedItem, needed: ResourceVector): boolean {
    const { item } = entry
    const { accounting: ledger } = this.#context
    const isOpenKnownToFail = pool.failedPlacements.isKnownToFail(needed, item.taskCount, pool.freedCapacityVersion)
    // A gang uses no target that is reserved for another item.
    const mayUseReserved = pool.reservedTargets.size > 0 && (item.taskCount === 1 || pool.reservations.has(item.requestId))
    if (isOpenKnownToFail && !mayUseReserved) return false
    const query: PlacementQuery = {
      entry,
      demand: needed,
      endsAtMs: mayUseReserved ? this.#estimator.estimateEndOfItem(item) : Infinity,
      servicesByRack: item.isService ? ledger.readServicesByRack(item) : undefined,
      isUnreservedKnownToFail: isOpenKnownToFail
    }
    const targets: TargetState[] = []
    for (let taskIndex = 0; taskIndex < item.taskCount; taskIndex++) {
      const target = findTarget(pool, query)
      if (target === undefined) break
      ledger.addUse(pool, item, target, needed, 1)
      targets.push(target)
    }
    if (targets.length === item.taskCount) {
      this.#decisions.push(commitStart(this.#context, pool, entry, { targets, demand: needed, isProbe: false }, this.#nowMs))
      return true
    }
    const version = pool.freedCapacityVersion
    for (const target of targets) ledger.addUse(pool, item, target, needed, -1)
    // Giving back what this try took frees nothing for others.
    pool.freedCapacityVersion = version
    // Only failures that depend on the need alone hold for other items too.
    const isComparable = item.excludedTargets.length === 0 && !pool.reservations.has(item.requestId)
    if (isComparable && !isOpenKnownToFail) pool.failedPlacements.record(needed, item.taskCount, version)
    return false
  }
}
