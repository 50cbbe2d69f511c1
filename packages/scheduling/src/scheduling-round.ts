import { type Amounts, countFits } from './amounts.js'
import type { ClassChoice } from './class-chooser.js'
import type { Decision } from './decision.js'
import { computeNeed } from './item-need.js'
import { startProbes } from './probe-starter.js'
import { commitStart } from './start-committer.js'
import { findTarget, type PlacementQuery } from './placer.js'
import { PoolPass } from './pool-pass.js'
import type { PoolState } from './pool-state.js'
import { compareUrgency, type QueuedItem } from './queued-item.js'
import { RoomMaker } from './room-maker.js'
import { RunEstimator } from './run-estimator.js'
import type { SchedulerContext } from './scheduler-context.js'
import type { TargetState } from './target-state.js'
import { URGENCIES } from './urgency.js'

/** One call of `schedule`. */
export class SchedulingRound {
  readonly #context: SchedulerContext
  readonly #nowMs: number
  readonly #maxDecisions: number
  readonly #estimator: RunEstimator
  readonly #rooms: RoomMaker
  readonly #decisions: Decision[] = []

  constructor (context: SchedulerContext, nowMs: number, maxDecisions: number) {
    this.#context = context
    this.#nowMs = nowMs
    this.#maxDecisions = maxDecisions
    this.#estimator = new RunEstimator(context.profiles, nowMs)
    this.#rooms = new RoomMaker(context, nowMs)
  }

  run (): readonly Decision[] {
    this.#expireQueued()
    const passes: PoolPass[] = []
    for (const pool of this.#context.pools.values()) {
      for (const urgency of URGENCIES) pool.rates[urgency].advance(this.#nowMs)
      if (!pool.hasBacklog()) pool.fresh.length = 0
      if (pool.policy === undefined || pool.targets.length === 0 || !pool.hasBacklog()) continue
      this.#rooms.refreshReservations(pool)
      passes.push(new PoolPass(pool, this.#context.settings))
    }
    this.#decisions.push(...startProbes(this.#context, passes, this.#nowMs, this.#maxDecisions - this.#decisions.length))
    this.#startReserved(passes)
    const fullPasses = passes.filter((pass) => this.#isFullPassDue(pass.pool))
    this.#startInOrder(fullPasses)
    for (const pass of passes) {
      if (fullPasses.includes(pass)) this.#finishFullPass(pass)
      else this.#startFresh(pass)
      if (this.#isFull()) pass.pool.exhaustedVersion = -1
      pass.pool.fresh.length = 0
    }
    for (const pool of this.#context.pools.values()) {
      for (const urgency of URGENCIES) pool.rates[urgency].setBacklogged(pool.queues[urgency].size > 0)
    }
    return this.#decisions
  }

  /** Whether more than the fresh items of a pool may have become startable. */
  #isFullPassDue (pool: PoolState): boolean {
    return pool.exhaustedVersion !== pool.freedVersion || this.#nowMs - pool.fullPassAtMs >= this.#context.settings.fullPassIntervalMs
  }

  #finishFullPass (pass: PoolPass): void {
    const { pool } = pass
    pool.exhaustedVersion = pool.freedVersion
    pool.fullPassAtMs = this.#nowMs
    pool.cutOffClasses = pass.cutOffClasses
    pool.blockedHead = pool.blockedHead?.entry === pass.firstBlocked ? pool.blockedHead : undefined
    this.#makeRoom(pass)
    // A reservation takes targets away but frees nothing.
    pool.exhaustedVersion = pool.freedVersion
  }

  /** Tries only what was admitted since a full pass found that nothing else fits. */
  #startFresh (pass: PoolPass): void {
    const { pool } = pass
    const fresh = pool.fresh.filter((entry) => !pool.cutOffClasses.has(entry.item.urgency))
    fresh.sort((left, right) => compareUrgency(left, right) || left.sequence - right.sequence)
    for (const entry of fresh) {
      if (this.#isFull()) return
      if (this.#context.queue.find(entry.item.requestId) !== entry) continue
      const needed = computeNeed(pool, this.#context.profiles, entry.item)
      if (pass.findLimit(entry, needed) !== undefined || this.#startIfFitting(pool, entry, needed)) continue
      pass.recordBlocked(entry, pool.isUnderFloor(entry.item.urgency))
    }
    this.#makeRoom(pass)
  }

  #makeRoom (pass: PoolPass): void {
    if (this.#isFull()) return
    this.#decisions.push(...this.#rooms.preemptFor(pass, this.#maxDecisions - this.#decisions.length))
    this.#rooms.reserveForFloors(pass)
    this.#rooms.reserveFor(pass)
  }

  #isFull (): boolean {
    return this.#decisions.length >= this.#maxDecisions
  }

  #expireQueued (): void {
    const { pools, queue, reservations } = this.#context
    while (!this.#isFull()) {
      const entry = queue.getEarliest()
      if (entry === undefined || entry.item.deadlineAtMs > this.#nowMs) return
      const pool = pools.get(entry.item.pool) as PoolState
      queue.remove(pool, entry)
      reservations.drop(pool, entry.item.requestId)
      this.#decisions.push({ type: 'expire', item: entry.item })
    }
  }

  /** Serves the most entitled class of any pool until nothing more fits. Pools of equal rank take turns. */
  #startInOrder (passes: readonly PoolPass[]): void {
    let served = Math.max(0, ...passes.map((pass) => pass.pool.lastServed))
    while (!this.#isFull()) {
      const best = this.#choosePass(passes)
      if (best === undefined) return
      const { pass, choice } = best
      const entry = pass.chooseEntry(choice.urgency)
      if (entry === undefined) continue
      const needed = computeNeed(pass.pool, this.#context.profiles, entry.item)
      const limit = pass.findLimit(entry, needed)
      if (limit !== undefined) {
        pass.skipForLimit(entry, limit)
      } else if (this.#startIfFitting(pass.pool, entry, needed)) {
        pass.pool.lastServed = ++served
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
      if (rank > bestRank || (rank === bestRank && best !== undefined && pass.pool.lastServed >= best.pass.pool.lastServed)) continue
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
        if (this.#isFull()) return
        const needed = computeNeed(pool, this.#context.profiles, holder.item)
        const hosts = targets.reduce((sum, target) => sum + countFits(needed, target.free), 0)
        if (hosts >= holder.item.taskCount && pass.findLimit(holder, needed) === undefined) this.#startIfFitting(pool, holder, needed)
      }
    }
  }

  #startIfFitting (pool: PoolState, entry: QueuedItem, needed: Amounts): boolean {
    const { item } = entry
    const { ledger } = this.#context
    const isOpenKnownToFail = pool.failedNeeds.isKnownToFail(needed, item.taskCount, pool.freedVersion)
    // A gang uses no target that is reserved for another item.
    const mayUseReserved = pool.reservedTargets.size > 0 && (item.taskCount === 1 || pool.reservations.has(item.requestId))
    if (isOpenKnownToFail && !mayUseReserved) return false
    const query: PlacementQuery = {
      entry,
      needed,
      endsAtMs: mayUseReserved ? this.#estimator.estimateEndOfItem(item) : Infinity,
      servicesByRack: item.isService ? ledger.readServicesByRack(item) : undefined,
      isOpenKnownToFail
    }
    const targets: TargetState[] = []
    for (let taskIndex = 0; taskIndex < item.taskCount; taskIndex++) {
      const target = findTarget(pool, query)
      if (target === undefined) break
      ledger.addUse(pool, item, target, needed, 1)
      targets.push(target)
    }
    if (targets.length === item.taskCount) {
      this.#decisions.push(commitStart(this.#context, pool, entry, { targets, needed, isProbe: false }, this.#nowMs))
      return true
    }
    const version = pool.freedVersion
    for (const target of targets) ledger.addUse(pool, item, target, needed, -1)
    // Giving back what this try took frees nothing for others.
    pool.freedVersion = version
    // Only failures that depend on the need alone hold for other items too.
    const isComparable = item.excludedTargets.length === 0 && !pool.reservations.has(item.requestId)
    if (isComparable && !isOpenKnownToFail) pool.failedNeeds.record(needed, item.taskCount, version)
    return false
  }
}
