import type { QueuedItem } from './queued-item.js'

export const RESERVATION_CAUSES = { blockedHead: 'blockedHead', floor: 'floor', preemption: 'preemption' } as const
export type ReservationCause = typeof RESERVATION_CAUSES[keyof typeof RESERVATION_CAUSES]

/** A reservation as the targets that it keeps see it. */
export interface TargetReservation {
  readonly holder: QueuedItem
  readonly cause: ReservationCause
  /** When the holder is expected to start; moves while tasks overrun. */
  startAtMs: number
}
