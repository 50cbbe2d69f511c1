import type { Amounts } from './amounts.js'
import type { ClassChoice } from './class-chooser.js'
import type { Decision } from './decision.js'
import { computeNeed } from './item-need.js'
import { PoolPass } from './pool-pass.js'
import type { PoolState } from './pool-state.js'
import { findTarget, type PlacementQuery, rankUrgency } from './placer.js'
import { planPreemption } from './preemption-planner.js'
import type { QueuedItem } from './queued-item.js'
import { type Reservation, RESERVATION_CAUSES } from './reservation.js'
import { planOn, planReservation } from './reservation-planner.js'
import type { RunningTask } from './running-task.js'
import type { SchedulerContext } from './scheduler-context.js'
import type { TargetState } from './target-state.js'
import { URGENCIES } from './urgency.js'

/** An overdue task is expected to need this share of its age again. */
const OVERDUE_SHARE = 0.25

/** One call of `schedule`. */
export class SchedulingRound {
  readonly #context: SchedulerContext
  readonly #nowMs: number
  readonly #maxDecisions: number
  readonly #decisions: Decision[] = []

  constructor (context: SchedulerContext, nowMs: number, maxDecisions: number) {
    this.#context = context
    this.#nowMs = nowMs
    this.#maxDecisions = maxDecisions
  }

  run (): readonly Decision[] {
    this.#expireQueued()
    const passes: PoolPass[] = []
    for (const pool of this.#context.pools.values()) {
      for (const urgency of URGENCIES) pool.rates[urgency].advance(this.#nowMs, pool.queues[urgency].size > 0)
      if (pool.policy === undefined || pool.targets.length === 0 || !pool.hasBacklog()) continue
      this.#refreshReservations(pool)
      passes.push(new PoolPass(pool, this.#context.settings))
    }
    this.#startProbes(passes)
    this.#startReserved(passes)
    this.#startInOrder(passes)
    for (const pass of passes) pass.finish()
    for (const pass of passes) {
      if (this.#isFull()) break
      this.#preemptFor(pass)
      this.#reserveFor(pass)
    }
    return this.#decisions
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
      let best: { pass: PoolPass, choice: ClassChoice, rank: number } | undefined
      for (const pass of passes) {
        const choice = pass.chooseClass()
        if (choice === undefined) continue
        const rank = choice.isUnderFloor ? -1 : URGENCIES.indexOf(choice.urgency)
        if (best === undefined || rank < best.rank || (rank === best.rank && pass.pool.lastServed < best.pass.pool.lastServed)) best = { pass, choice, rank }
      }
      if (best === undefined) return
      const { pass, choice } = best
      const entry = pass.chooseEntry(choice.urgency)
      if (entry === undefined) continue
      const needed = computeNeed(pass.pool, this.#context.profiles, entry.item)
      if (!pass.isWithinLimits(entry, needed)) continue
      if (this.#startIfFitting(pass.pool, entry, needed)) {
        pass.pool.lastServed = ++served
      } else {
        pass.recordBlocked(entry)
        pass.setAside(entry)
      }
    }
  }

  #startReserved (passes: readonly PoolPass[]): void {
    for (const pass of passes) {
      const { pool } = pass
      const holders = [...pool.reservations.values()].map((reservation) => reservation.holder)
      holders.sort((left, right) => rankUrgency(left) - rankUrgency(right) || left.sequence - right.sequence)
      for (const holder of holders) {
        if (this.#isFull()) return
        const needed = computeNeed(pool, this.#context.profiles, holder.item)
        if (pass.isWithinLimits(holder, needed)) this.#startIfFitting(pool, holder, needed)
      }
    }
  }

  #startIfFitting (pool: PoolState, entry: QueuedItem, needed: Amounts): boolean {
    const { item } = entry
    const { ledger } = this.#context
    const isRemembered = !pool.isExecutorPool && item.excludedTargets.length === 0 && !pool.reservations.has(item.requestId) && pool.reservedTargets.size === 0
    if (isRemembered && pool.failedNeeds.isKnownToFail(needed, pool.freedVersion)) return false
    const query: PlacementQuery = { entry, needed, endsAtMs: this.#estimateEndOf(entry), servicesByRack: ledger.readServicesByRack(item) }
    const targets: TargetState[] = []
    for (let taskIndex = 0; taskIndex < item.taskCount; taskIndex++) {
      const target = findTarget(pool, query)
      if (target === undefined) break
      ledger.addUse(pool, item, target, needed, 1)
      targets.push(target)
    }
    if (targets.length < item.taskCount) {
      const version = pool.freedVersion
      for (const target of targets) ledger.addUse(pool, item, target, needed, -1)
      // Giving back what this try took frees nothing for others.
      pool.freedVersion = version
      if (isRemembered && item.taskCount === 1) pool.failedNeeds.record(needed, version)
      return false
    }
    this.#commitStart(pool, entry, targets, needed, false)
    return true
  }

  #commitStart (pool: PoolState, entry: QueuedItem, targets: readonly TargetState[], needed: Amounts, isProbe: boolean): void {
    const { ledger, queue, reservations } = this.#context
    const { item } = entry
    pool.rates[item.urgency].recordStart(true)
    queue.remove(pool, entry)
    reservations.drop(pool, item.requestId)
    ledger.register(pool, item, targets, needed, isProbe, this.#nowMs)
    this.#decisions.push({ type: 'start', item, targets: targets.map((target) => target.id), isProbe })
  }

  /** Gives each quarantined target that is due one idempotent, not urgent task. */
  #startProbes (passes: readonly PoolPass[]): void {
    for (const target of this.#context.failures.listProbeable(this.#nowMs)) {
      for (const pass of passes) {
        if (this.#isFull()) return
        if (!target.pools.includes(pass.pool) || !this.#startProbe(pass, target)) continue
        break
      }
    }
  }

  #startProbe (pass: PoolPass, target: TargetState): boolean {
    const { pool } = pass
    const choice = pass.chooseClass()
    if (choice === undefined || choice.urgency === 'urgent') return false
    const entry = pass.chooseEntry(choice.urgency)
    if (entry === undefined) return false
    const { item } = entry
    if (!item.isIdempotent || item.isExclusive || item.isService || item.taskCount > 1 || item.excludedTargets.includes(target.id)) return false
    const needed = computeNeed(pool, this.#context.profiles, item)
    if (!pool.isFittingNow(target, needed) || !pass.isWithinLimits(entry, needed)) return false
    this.#context.ledger.addUse(pool, item, target, needed, 1)
    this.#context.failures.recordProbeStart(target)
    this.#commitStart(pool, entry, [target], needed, true)
    return true
  }

  #refreshReservations (pool: PoolState): void {
    const { reservationRefreshMs, reservationPatienceMs } = this.#context.settings
    for (const [requestId, reservation] of pool.reservations) {
      if (this.#nowMs - reservation.refreshedAtMs < reservationRefreshMs) continue
      reservation.refreshedAtMs = this.#nowMs
      const { item } = reservation.holder
      const needed = computeNeed(pool, this.#context.profiles, item)
      const plan = planOn(reservation.targets, needed, item.taskCount, this.#nowMs, this.#estimateEnd)
      const isLate = plan === undefined || plan.startAtMs > reservation.firstStartAtMs + reservationPatienceMs
      if (isLate) this.#context.reservations.drop(pool, requestId)
      else reservation.startAtMs = plan.startAtMs
    }
  }

  /** Reserves targets for the first item that did not fit, so that smaller work doesn't keep it waiting for ever. */
  #reserveFor (pass: PoolPass): void {
    const { pool, firstBlocked: entry } = pass
    if (entry === undefined || pool.reservations.has(entry.item.requestId) || this.#context.queue.find(entry.item.requestId) !== entry) return
    const current = this.#context.reservations.findHeadReservation(pool)
    if (current !== undefined) {
      if (!this.#isReplaceable(pool, current, entry)) return
      this.#context.reservations.drop(pool, current.holder.item.requestId)
    }
    const needed = computeNeed(pool, this.#context.profiles, entry.item)
    const { taskCount, excludedTargets } = entry.item
    const plan = planReservation(pool, needed, taskCount, excludedTargets, this.#nowMs, this.#estimateEnd)
    if (plan !== undefined) this.#context.reservations.create(pool, entry, RESERVATION_CAUSES.blockedHead, plan, this.#nowMs)
  }

  #isReplaceable (pool: PoolState, current: Reservation, entry: QueuedItem): boolean {
    const { urgency } = current.holder.item
    return rankUrgency(entry) < rankUrgency(current.holder) && pool.computeClassShare(urgency) >= pool.readClassPolicy(urgency).floorPercent / 100
  }

  /** Makes room for urgent items that would wait too long. */
  #preemptFor (pass: PoolPass): void {
    const { pool } = pass
    const { settings, profiles, reservations } = this.#context
    if (pool.isExecutorPool || pass.blockedUrgent.length === 0) return
    for (const entry of pass.blockedUrgent) {
      const { item } = entry
      if (this.#isFull() || item.taskCount > 1 || pool.reservations.get(item.requestId)?.cause === RESERVATION_CAUSES.preemption) continue
      const underWay = [...pool.reservations.values()].filter((reservation) => reservation.cause === RESERVATION_CAUSES.preemption).length
      if (underWay >= settings.maxPreemptionsPerPool) return
      const needed = computeNeed(pool, profiles, item)
      const natural = planReservation(pool, needed, 1, item.excludedTargets, this.#nowMs, this.#estimateEnd)
      const naturalWaitMs = natural === undefined ? item.deadlineAtMs - this.#nowMs : natural.startAtMs - this.#nowMs
      if (this.#nowMs - item.enqueuedAtMs + naturalWaitMs <= settings.preemptionWaitMs) continue
      const plan = planPreemption(pool, entry, needed, naturalWaitMs, this.#nowMs, settings, this.#estimateEnd)
      if (plan === undefined) return
      reservations.drop(pool, item.requestId)
      reservations.create(pool, entry, RESERVATION_CAUSES.preemption, { targets: [plan.target], startAtMs: this.#nowMs + settings.checkpointCostMs }, this.#nowMs)
      for (const victim of plan.victims) {
        victim.isPreempted = true
        this.#decisions.push({ type: 'preempt', requestId: victim.request.item.requestId, action: plan.action, beneficiary: item.requestId })
      }
    }
  }

  #estimateEndOf (entry: QueuedItem): number {
    const { item } = entry
    if (item.isService) return Infinity
    const runtimeMs = this.#context.profiles.estimateRuntimeMs(item.kind, item.runtimeMs)
    return runtimeMs === undefined ? Infinity : this.#nowMs + runtimeMs
  }

  readonly #estimateEnd = (task: RunningTask): number => {
    const { item, startedAtMs } = task.request
    if (item.isService) return Infinity
    const runtimeMs = this.#context.profiles.estimateRuntimeMs(item.kind, item.runtimeMs)
    if (runtimeMs === undefined) return Infinity
    return Math.max(startedAtMs + runtimeMs, this.#nowMs + (this.#nowMs - startedAtMs) * OVERDUE_SHARE)
  }
}
