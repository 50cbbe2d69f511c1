import type { ResourceVector } from './resource-vector.js'
import type { PreemptDecision } from './decision.js'
import { computeDemand } from './item-demand.js'
import type { PoolPass } from './pool-pass.js'
import type { PoolState } from './pool-state.js'
import { planPreemption } from './preemption-planner.js'
import { compareUrgency, type QueuedItem } from './queued-item.js'
import type { Reservation } from './reservation.js'
import { RESERVATION_CAUSES } from './target-reservation.js'
import { planOnTargets, planReservation } from './reservation-planner.js'
import { RuntimeEstimator } from './runtime-estimator.js'
import type { SchedulerContext } from './scheduler-context.js'
import { URGENCIES, type Urgency } from './urgency.js'

/**
 * Handles blocked items, which are within their limits but do not fit: reserves targets for the blocked head of a pool
 * and for classes under their floor, and preempts running tasks for urgent items.
 */
export class BlockedItemHandler {
  readonly #context: SchedulerContext
  readonly #nowMs: number
  readonly #estimator: RuntimeEstimator

  constructor (context: SchedulerContext, nowMs: number) {
    this.#context = context
    this.#nowMs = nowMs
    this.#estimator = new RuntimeEstimator(context.profiles, nowMs)
  }

  /**
   * Updates the expected start times of the pool's reservations. Drops floor reservations of classes that have reached
   * their floor, and reservations later than `reservationMaxOverrunMs` after their first estimate, so that other targets
   * can be chosen.
   */
  refreshReservations (pool: PoolState): void {
    const { reservationRefreshMs, reservationMaxOverrunMs } = this.#context.settings
    for (const [requestId, reservation] of pool.reservations) {
      if (reservation.cause === RESERVATION_CAUSES.floor && !pool.isUnderFloor(reservation.holder.item.urgency)) {
        this.#context.reservations.drop(pool, requestId)
        continue
      }
      if (this.#nowMs - reservation.refreshedAtMs < reservationRefreshMs) continue
      reservation.refreshedAtMs = this.#nowMs
      const { item } = reservation.holder
      const plan = planOnTargets(reservation.targets, this.#computeDemand(pool, reservation.holder), item.taskCount, this.#estimator)
      const isLate = plan === undefined || plan.startAtMs > reservation.firstStartAtMs + reservationMaxOverrunMs
      if (isLate) this.#context.reservations.drop(pool, requestId)
      else reservation.startAtMs = plan.startAtMs
    }
  }

  /**
   * Reserves targets for blocked items of urgency classes under their floor, up to the share that each class lacks. Without
   * reservations, smaller tasks of other classes take freed capacity piece by piece before a larger task fits.
   */
  reserveForFloors (pass: PoolPass): void {
    const { pool } = pass
    const { reservations, queue, settings } = this.#context
    if (pool.isExecutorPool || pass.blockedUnderFloor.length === 0) return
    // Share of the pool by which each class is under its floor, less what is reserved for it.
    const gaps = new Map<Urgency, number>()
    for (const urgency of URGENCIES) gaps.set(urgency, pool.readClassPolicy(urgency).floorPercent / 100 - pool.computeClassShare(urgency))
    for (const { holder } of pool.reservations.values()) gaps.set(holder.item.urgency, (gaps.get(holder.item.urgency) ?? 0) - holder.share)
    for (const queued of pass.blockedUnderFloor) {
      const { item, share } = queued
      const gap = gaps.get(item.urgency) ?? 0
      if (gap <= 0 || pool.reservations.has(item.requestId) || queue.find(item.requestId) !== queued) continue
      if (reservations.countByCause(pool, RESERVATION_CAUSES.floor) >= settings.maxFloorReservations) return
      const plan = planReservation(pool, item, this.#computeDemand(pool, queued), this.#estimator)
      if (plan === undefined) continue
      reservations.create(pool, queued, RESERVATION_CAUSES.floor, plan, this.#nowMs)
      gaps.set(item.urgency, gap - share)
    }
  }

  /** Reserves targets for the first item that did not fit, so that smaller items can't starve it. */
  reserveForHead (pass: PoolPass): void {
    const { pool, firstBlocked: queued } = pass
    const { queue, reservations, settings } = this.#context
    if (queued === undefined || queue.find(queued.item.requestId) !== queued) return
    pool.blockedHead ??= { queued, sinceMs: this.#nowMs }
    if (pool.blockedHead.queued !== queued) return
    if (pool.reservations.has(queued.item.requestId)) return
    // A single task usually fits as soon as the next running task ends, so it needs no reservation at first.
    if (queued.item.taskCount === 1 && (pool.isExecutorPool || this.#nowMs - pool.blockedHead.sinceMs < settings.reservationDelayMs)) return
    const current = reservations.findHeadReservation(pool)
    if (current !== undefined) {
      if (!this.#isReplaceable(pool, current, queued)) return
      reservations.drop(pool, current.holder.item.requestId)
    }
    const plan = planReservation(pool, queued.item, this.#computeDemand(pool, queued), this.#estimator)
    if (plan !== undefined) reservations.create(pool, queued, RESERVATION_CAUSES.blockedHead, plan, this.#nowMs)
  }

  /**
   * Preempts running tasks for blocked urgent items whose total wait would exceed `preemptionWaitMs`, and reserves the
   * target for each until its capacity is free. Returns at most `maxDecisions` decisions.
   */
  preemptForUrgent (pass: PoolPass, maxDecisions: number): readonly PreemptDecision[] {
    const { pool } = pass
    const { settings, reservations } = this.#context
    const decisions: PreemptDecision[] = []
    const isDue = pass.blockedUrgent.length > 0 && this.#nowMs - pool.lastPreemptionAtMs >= settings.preemptionIntervalMs
    if (pool.isExecutorPool || !isDue) return decisions
    pool.lastPreemptionAtMs = this.#nowMs
    for (const queued of pass.blockedUrgent) {
      const { item } = queued
      if (item.taskCount > 1 || pool.reservations.get(item.requestId)?.cause === RESERVATION_CAUSES.preemption) continue
      if (reservations.countByCause(pool, RESERVATION_CAUSES.preemption) >= settings.maxPreemptionsPerPool) break
      const demand = this.#computeDemand(pool, queued)
      const planWithoutPreemption = planReservation(pool, item, demand, this.#estimator)
      const waitWithoutPreemptionMs = (planWithoutPreemption?.startAtMs ?? item.deadlineAtMs) - this.#nowMs
      if (this.#nowMs - item.enqueuedAtMs + waitWithoutPreemptionMs <= settings.preemptionWaitMs) continue
      const plan = planPreemption(pool, { item, demand, waitWithoutPreemptionMs }, this.#estimator, settings)
      if (plan === undefined || decisions.length + plan.victims.length > maxDecisions) break
      reservations.drop(pool, item.requestId)
      const startAtMs = this.#nowMs + settings.checkpointCostMs
      reservations.create(pool, queued, RESERVATION_CAUSES.preemption, { targets: [plan.target], startAtMs }, this.#nowMs)
      for (const victim of plan.victims) {
        victim.isPreempted = true
        decisions.push({ type: 'preempt', requestId: victim.request.item.requestId, action: plan.action, preemptor: item.requestId })
      }
    }
    return decisions
  }

  /** Whether the reservation of the blocked head may go to `queued`, which must be of a more urgent class. */
  #isReplaceable (pool: PoolState, current: Reservation, queued: QueuedItem): boolean {
    const { urgency } = current.holder.item
    return compareUrgency(queued, current.holder) < 0 && !pool.isUnderFloor(urgency)
  }

  #computeDemand (pool: PoolState, queued: QueuedItem): ResourceVector {
    return computeDemand(pool, this.#context.profiles, queued.item)
  }
}
