import { URGENCIES } from './urgency.js'
import type { WorkItem } from './work-item.js'

/** An admitted item that has not started. */
export interface QueuedItem {
  readonly item: WorkItem
  /** Position in the order of admission. */
  readonly sequence: number
  /** Share of the pool's capacity that the item was estimated to take at admission. */
  readonly share: number
}

/** Orders by urgency class, the most urgent first. */
export function compareUrgency (left: QueuedItem, right: QueuedItem): number {
  return URGENCIES.indexOf(left.item.urgency) - URGENCIES.indexOf(right.item.urgency)
}

/** Orders by deadline, earliest first, then by arrival. */
export function compareByDeadline (left: QueuedItem, right: QueuedItem): number {
  return left.item.deadlineAtMs - right.item.deadlineAtMs || left.item.enqueuedAtMs - right.item.enqueuedAtMs ||
    left.sequence - right.sequence
}
