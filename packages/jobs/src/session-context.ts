import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { AccountUsage } from './accounts/account-usage.js'
import type { FencingTokenSource } from './fencing-token-source.js'
import type { OwnerTimings } from './owner-timings.js'
import type { ReportedEnd, ReportedRun, TargetGateway } from './target-gateway.js'
import type { RunEnd, TaskRun } from './task-run.js'
import type { PacedQueue } from './turns/paced-queue.js'
import type { TurnMeter } from './turns/turn-meter.js'

/** Dependencies and callbacks that the owner provides to its target sessions. */
export interface SessionContext {
  readonly clock: Clock
  readonly logger: EventLogger
  readonly turns: TurnMeter
  /** Spreads the orders of many runs over turns of the event loop. */
  readonly orders: PacedQueue
  readonly gateway: TargetGateway
  readonly timings: OwnerTimings
  readonly fencingTokens: FencingTokenSource
  /** What the runs on all targets count against the quotas of accounts. */
  readonly accountUsage: AccountUsage
  /** Whether the owner may still extend leases and start runs. */
  isAuthorized (): boolean
  /** Whether the store answers. While it doesn't, sessions extend leases to the maximum. */
  isStoreHealthy (): boolean
  /** Whether the task of a run whose start order got no answer waits, since the order may still be carried out. */
  shouldAwaitLateStart (run: TaskRun): boolean
  /** A target has started again under its id. */
  onTargetRestarted (targetId: string): void
  /** Records that a target reported a run as done. */
  recordSuccess (run: TaskRun): void
  /** Records that a target reported a run as failed. Returns whether that counts against the target, or is the job's own failure. */
  recordFailure (run: TaskRun): boolean
  onRunEnded (run: TaskRun, end: RunEnd): void
  onRunStarted (run: TaskRun): void
  onCheckpoint (run: TaskRun, checkpoint: string): void
  /** Handles a run that the owner doesn't know. Returns the run to track, with `isStopWanted` set, or undefined to ignore it. */
  onUnknownRun (reported: ReportedRun, targetId: string): TaskRun | undefined
  /** Handles the end of a run that the owner doesn't know. */
  onUnknownEnd (reported: ReportedEnd, targetId: string): void
  /** The target has refused the ticket of a start order. */
  onTicketRefused (run: TaskRun): void
  /** Calls back once all changes made so far are stored. */
  runWhenStored (callback: () => void): void
  onCapacityChanged (): void
  /** A start order or a poll got no answer. */
  onAnswerLost (targetId: string): void
  /** The target has seen a newer owner. */
  onFenced (): void
}
