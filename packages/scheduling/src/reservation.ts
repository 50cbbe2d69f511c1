import type { TargetReservation } from './target-reservation.js'
import type { TargetState } from './target-state.js'

/** Targets kept for an item that does not fit yet. Other work uses them only where it ends before `startAtMs`. */
export interface Reservation extends TargetReservation {
  readonly targets: readonly TargetState[]
  readonly firstStartAtMs: number
  refreshedAtMs: number
}
