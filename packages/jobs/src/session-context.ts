import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { OwnerTimings } from './owner-timings.js'
import type { ReportedRun, TargetGateway } from './target-gateway.js'
import type { RunOutcome, TaskRun } from './task-run.js'

/** What a session needs of the owner. */
export interface SessionContext {
  readonly clock: Clock
  readonly logger: EventLogger
  readonly gateway: TargetGateway
  readonly timings: OwnerTimings
  readonly fencingToken: number
  /** Whether the owner may still extend leases and start runs. */
  isAuthorized (): boolean
  /** Whether the store answers; while it doesn't, leases are extended to the maximum. */
  isStoreHealthy (): boolean
  onRunEnded (run: TaskRun, outcome: RunOutcome, checkpoint: string): void
  onRunStarted (run: TaskRun): void
  onCheckpoint (run: TaskRun, checkpoint: string): void
  /** A run that the owner doesn't know: returns the run to track, already marked to be stopped. */
  onUnknownRun (row: ReportedRun, targetId: string): TaskRun | undefined
  /** The target refused the ticket of an order. */
  onTicketRefused (run: TaskRun): void
  /** Calls back once all that is known now has been stored. */
  runWhenStored (callback: () => void): void
  onCapacityChanged (): void
  /** An order or look got no answer. */
  onAnswerLost (targetId: string): void
  onFenced (): void
}
