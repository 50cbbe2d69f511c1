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

/** Makes room for items that do not fit: reservations for the blocked head of a pool, preemption for urgent items. */
export class BlockedItemHandler {
  readonly #context: SchedulerContext
  readonly #nowMs: number
  readonly #estimator: RuntimeEstimator

  constructor (context: SchedulerContext, nowMs: number) {
    this.#context = context
    this.#nowMs = nowMs
    this.#estimator = new RuntimeEstimator(context.profiles, nowMs)
  }

  /** Estimates the reservations' starts again and drops those that are far too late, so that other targets are chosen. */
  refreshReservations (pool: PoolState): void {
    const { reservationRefreshMs, reservationMaxOverrunMs: reservationPatienceMs } = this.#context.settings
    for (const [requestId, reservation] of pool.reservations) {
      if (reservation.cause === RESERVATION_CAUSES.floor && !pool.isUnderFloor(reservation.holder.item.urgency)) {
        this.#context.reservations.drop(pool, requestId)
        continue
      }
      if (this.#nowMs - reservation.refreshedAtMs < reservationRefreshMs) continue
      reservation.refreshedAtMs = this.#nowMs
      const { item } = reservation.holder
      const plan = planOnTargets(reservation.targets, this.#computeDemand(pool, reservation.holder), item.taskCount, this.#estimator)
      const isLate = plan === undefined || plan.startAtMs > reservation.firstStartAtMs + reservationPatienceMs
      if (isLate) this.#context.reservations.drop(pool, requestId)
      else reservation.startAtMs = plan.startAtMs
    }
  }

  /**
   * Reserves targets for items of classes under their floor, as far as the floors reach. Otherwise smaller work of other
   * classes takes each piece of capacity that comes free before a larger task fits.
   */
  reserveForFloors (pass: PoolPass): void {
    const { pool } = pass
    const { reservations, queue, settings } = this.#context
    if (pool.isExecutorPool || pass.blockedUnderFloor.length === 0) return
    const owed = new Map<Urgency, number>()
    for (const urgency of URGENCIES) owed.set(urgency, pool.readClassPolicy(urgency).floorPercent / 100 - pool.computeClassShare(urgency))
    for (const { holder } of pool.reservations.values()) owed.set(holder.item.urgency, (owed.get(holder.item.urgency) ?? 0) - holder.share)
    for (const entry of pass.blockedUnderFloor) {
      const { item, share } = entry
      const classOwed = owed.get(item.urgency) ?? 0
      if (classOwed <= 0 || pool.reservations.has(item.requestId) || queue.find(item.requestId) !== entry) continue
      if (reservations.countByCause(pool, RESERVATION_CAUSES.floor) >= settings.maxFloorReservations) return
      const plan = planReservation(pool, item, this.#computeDemand(pool, entry), this.#estimator)
      if (plan === undefined) continue
      reservations.create(pool, entry, RESERVATION_CAUSES.floor, plan, this.#nowMs)
      owed.set(item.urgency, classOwed - share)
    }
  }

  /** Reserves targets for the first item that did not fit, so that smaller work doesn't keep it waiting for ever. */
  reserveForHead (pass: PoolPass): void {
    const { pool, firstBlocked: entry } = pass
    const { queue, reservations, settings } = this.#context
    if (entry === undefined || queue.find(entry.item.requestId) !== entry) return
    pool.blockedHead ??= { entry, sinceMs: this.#nowMs }
    if (pool.blockedHead.entry !== entry) return
    if (pool.reservations.has(entry.item.requestId)) return
    // A single task usually gets the next capacity that comes free, which needs no plan.
    if (entry.item.taskCount === 1 && (pool.isExecutorPool || this.#nowMs - pool.blockedHead.sinceMs < settings.reservationDelayMs)) return
    const current = reservations.findHeadReservation(pool)
    if (current !== undefined) {
      if (!this.#isReplaceable(pool, current, entry)) return
      reservations.drop(pool, current.holder.item.requestId)
    }
    const plan = planReservation(pool, entry.item, this.#computeDemand(pool, entry), this.#estimator)
    if (plan !== undefined) reservations.create(pool, entry, RESERVATION_CAUSES.blockedHead, plan, this.#nowMs)
  }

  /** Makes room for urgent items that would wait too long; at most `maxDecisions`. */
  preemptForUrgent (pass: PoolPass, maxDecisions: number): readonly PreemptDecision[] {
    const { pool } = pass
    const { settings, reservations } = this.#context
    const decisions: PreemptDecision[] = []
    const isDue = pass.blockedUrgent.length > 0 && this.#nowMs - pool.lastPreemptionAtMs >= settings.preemptionIntervalMs
    if (pool.isExecutorPool || !isDue) return decisions
    pool.lastPreemptionAtMs = this.#nowMs
    for (const entry of pass.blockedUrgent) {
      const { item } = entry
      if (item.taskCount > 1 || pool.reservations.get(item.requestId)?.cause === RESERVATION_CAUSES.preemption) continue
      if (reservations.countByCause(pool, RESERVATION_CAUSES.preemption) >= settings.maxPreemptionsPerPool) break
      const needed = this.#computeDemand(pool, entry)
      const natural = planReservation(pool, item, needed, this.#estimator)
      const naturalWaitMs = (natural?.startAtMs ?? item.deadlineAtMs) - this.#nowMs
      if (this.#nowMs - item.enqueuedAtMs + naturalWaitMs <= settings.preemptionWaitMs) continue
      const plan = planPreemption(pool, { item, demand: needed, waitWithoutPreemptionMs: naturalWaitMs }, this.#estimator, settings)
      if (plan === undefined || decisions.length + plan.victims.length > maxDecisions) break
      reservations.drop(pool, item.requestId)
      const startAtMs = this.#nowMs + settings.checkpointCostMs
      reservations.create(pool, entry, RESERVATION_CAUSES.preemption, { targets: [plan.target], startAtMs }, this.#nowMs)
      for (const victim of plan.victims) {
        victim.isPreempted = true
        decisions.push({ type: 'preempt', requestId: victim.request.item.requestId, action: plan.action, preemptor: item.requestId })
      }
    }
    return decisions
  }

  #isReplaceable (pool: PoolState, current: Reservation, entry: QueuedItem): boolean {
    const { urgency } = current.holder.item
    return compareUrgency(entry, current.holder) < 0 && !pool.isUnderFloor(urgency)
  }

  #computeDemand (pool: PoolState, entry: QueuedItem): ResourceVector {
    return computeDemand(pool, this.#context.profiles, entry.item)
  }
}
