import type { QueuedItem } from './queued-item.js'

export const RESERVATION_CAUSES = { blockedHead: 'blockedHead', floor: 'floor', preemption: 'preemption' } as const
export type ReservationCause = typeof RESERVATION_CAUSES[keyof typeof RESERVATION_CAUSES]

/** The view of a reservation that the reserved targets need. */
export interface TargetReservation {
  readonly holder: QueuedItem
  readonly cause: ReservationCause
  /** When the holder is expected to start; moves later while running tasks overrun their estimates. */
  startAtMs: number
}
