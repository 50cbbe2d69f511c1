import type { Result } from '@hibiscusledge/runtime/result.js'
import type { Resources } from './job.js'
import type { RunOutcome } from './task-run.js'

export const ORDER_ERROR_CODES = {
  /** The target has received an order from a newer owner. */
  fenced: 'fenced',
  /** The run number is not higher than one that was stopped or has ended on the target. */
  outdatedRun: 'outdatedRun',
  /** The order arrived after its validity had expired. */
  tooLate: 'tooLate',
  noRoom: 'noRoom',
  invalidTicket: 'invalidTicket',
  /** Another incarnation of the target answers at this address. */
  otherIncarnation: 'otherIncarnation',
  /** The target reports that it is unhealthy. The order was not carried out. */
  unhealthy: 'unhealthy',
  malformed: 'malformed',
  /** No answer: the order may have been carried out, or may still be. */
  noAnswer: 'noAnswer'
} as const
export type OrderErrorCode = typeof ORDER_ERROR_CODES[keyof typeof ORDER_ERROR_CODES]

export interface OrderError {
  readonly code: OrderErrorCode
  readonly message: string
  /** Reading of the target's clock; undefined when it did not answer. */
  readonly targetClockMs?: number | undefined
}

/** Answer to an order. */
export interface OrderAnswer {
  /** Reading of the target's monotonic clock. */
  readonly targetClockMs: number
}

/** Id and address of a target. */
export interface TargetEndpoint {
  readonly id: string
  readonly address: string
}

export interface StartOrder {
  readonly taskName: string
  /** Number of the run. It increases with each run of the task. */
  readonly run: number
  readonly specification: string
  /** Time on the target's clock after which it refuses the order. */
  readonly validUntilMs: number
  readonly fencingToken: number
  readonly checkpoint: string
  readonly ticket?: string | undefined
}

export interface StopOrder {
  readonly taskName: string
  /** The task's runs up to this number are stopped, and start orders for them are refused. */
  readonly run: number
  readonly fencingToken: number
}

/** Order to report the state of the runs. It also renews their lease and acknowledges ended runs. */
export interface PollOrder {
  readonly fencingToken: number
  /** Ended runs up to this number are stored, so that the target may drop them. */
  readonly acknowledgedEnd: number
  /** Time on the target's clock until which the lease of all its runs is extended; undefined when it isn't extended. */
  readonly leaseUntilMs?: number | undefined
  /** Longest time, in milliseconds, for which the target waits for a run to end before it answers. */
  readonly waitMs: number
}

export interface ReportedRun {
  readonly taskName: string
  readonly run: number
  readonly checkpoint: string
  readonly percent: number
}

/** A run that has ended. The target reports it until it is acknowledged. */
export interface ReportedEnd {
  /** Number of the ended run on its target, counted from the target's start. */
  readonly number: number
  readonly taskName: string
  readonly run: number
  readonly outcome: RunOutcome
  readonly checkpoint: string
}

/** Start of a target that doesn't say when it started. */
export const UNKNOWN_START_MS = 0

export interface TargetReport extends OrderAnswer {
  /** Start of the target in Unix milliseconds, or {@link UNKNOWN_START_MS}. A different value means a different incarnation. */
  readonly startedAtMs: number
  readonly running: readonly ReportedRun[]
  readonly ended: readonly ReportedEnd[]
  /** Whether the target has more ended runs than it reports at a time. The others follow once these are acknowledged. */
  readonly hasMoreEnds?: boolean | undefined
}

/** Sends orders to targets. Every order contains the target's id, so that a target with another id at this address refuses it. */
export interface TargetGateway {
  startRun (target: TargetEndpoint, order: StartOrder): Promise<Result<OrderAnswer, OrderError>>
  stopRun (target: TargetEndpoint, order: StopOrder): Promise<Result<OrderAnswer, OrderError>>
  fetchReport (target: TargetEndpoint, order: PollOrder): Promise<Result<TargetReport, OrderError>>
  /** Closes the connections to a target that is gone. */
  removeTarget (targetId: string): void
}

/** A target as described by itself in the directory. */
export interface TargetDescription extends TargetEndpoint {
  readonly service: string
  readonly failureDomain: string
  readonly isDraining: boolean
  /** Minimum time for which a draining target stays, counted from this listing; undefined when it is not known. */
  readonly remainingMs?: number | undefined
  readonly capacity: Resources
  readonly labels: readonly string[]
  /** Start of the target in Unix milliseconds; undefined when it is not known. */
  readonly startedAtMs?: number | undefined
}

export interface TargetDirectoryHandler {
  /** Receives all targets that the directory lists at this time. */
  onTargets (targets: readonly TargetDescription[]): void
}

/** Reports the list of targets to a handler, also when it changes. */
export interface TargetDirectory {
  subscribe (handler: TargetDirectoryHandler): void
  stop (): void
}
