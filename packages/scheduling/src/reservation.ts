import type { TargetReservation } from './target-reservation.js'
import type { TargetState } from './target-state.js'

/** Targets reserved for an item that does not fit yet. Other work may use them only if it ends before `startAtMs`. */
export interface Reservation extends TargetReservation {
  readonly targets: readonly TargetState[]
  readonly firstStartAtMs: number
  refreshedAtMs: number
}
