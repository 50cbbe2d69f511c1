import type { QueuedItem } from './queued-item.js'
import type { TargetState } from './target-state.js'

export const RESERVATION_CAUSES = { blockedHead: 'blockedHead', floor: 'floor', preemption: 'preemption' } as const
export type ReservationCause = typeof RESERVATION_CAUSES[keyof typeof RESERVATION_CAUSES]

/** Targets kept for an item that does not fit yet. Other work uses them only where it ends before `startAtMs`. */
export interface Reservation {
  readonly holder: QueuedItem
  readonly cause: ReservationCause
  readonly targets: readonly TargetState[]
  /** When the holder is expected to start; moves while tasks overrun. */
  startAtMs: number
  readonly firstStartAtMs: number
  refreshedAtMs: number
}
