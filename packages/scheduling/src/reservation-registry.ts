import type { PoolState } from './pool-state.js'
import type { QueuedItem } from './queued-item.js'
import type { Reservation } from './reservation.js'
import { RESERVATION_CAUSES, type ReservationCause } from './target-reservation.js'
import type { ReservationPlan } from './reservation-planner.js'
import type { TargetRegistry } from './target-registry.js'

/** Creates and drops the reservations of pools and keeps the `reservation` of their targets consistent with them. */
export class ReservationRegistry {
  readonly #targets: TargetRegistry

  constructor (targets: TargetRegistry) {
    this.#targets = targets
  }

  create (pool: PoolState, holder: QueuedItem, cause: ReservationCause, plan: ReservationPlan, nowMs: number): void {
    const reservation: Reservation = {
      holder, cause, targets: plan.targets, startAtMs: plan.startAtMs, firstStartAtMs: plan.startAtMs, refreshedAtMs: nowMs
    }
    pool.reservations.set(holder.item.requestId, reservation)
    for (const state of plan.targets) {
      state.reservation = reservation
      this.#targets.refresh(state, false)
    }
  }

  drop (pool: PoolState, requestId: string): void {
    const reservation = pool.reservations.get(requestId)
    if (reservation === undefined) return
    pool.reservations.delete(requestId)
    for (const state of reservation.targets) {
      if (state.reservation !== reservation) continue
      state.reservation = undefined
      pool.reservedTargets.delete(state)
      this.#targets.refresh(state, true)
    }
  }

  countByCause (pool: PoolState, cause: ReservationCause): number {
    let count = 0
    for (const reservation of pool.reservations.values()) if (reservation.cause === cause) count++
    return count
  }

  /** Returns the reservation for the pool's blocked head, if it has one. */
  findHeadReservation (pool: PoolState): Reservation | undefined {
    for (const reservation of pool.reservations.values()) if (reservation.cause === RESERVATION_CAUSES.blockedHead) return reservation
    return undefined
  }
}
