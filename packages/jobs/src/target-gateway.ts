import type { Result } from '@hibiscusledge/runtime/result.js'
import type { Resources } from './job.js'
import type { RunOutcome } from './task-run.js'

export const ORDER_ERROR_CODES = {
  /** A newer owner has given the target an order. */
  fenced: 'fenced',
  /** The run is not higher than one that was stopped or has ended there. */
  outdatedRun: 'outdatedRun',
  /** The order came after the time until which it was valid. */
  tooLate: 'tooLate',
  noRoom: 'noRoom',
  invalidTicket: 'invalidTicket',
  /** Another life of the target answers at this address. */
  otherIncarnation: 'otherIncarnation',
  /** The target is unhealthy and has done nothing. */
  unhealthy: 'unhealthy',
  malformed: 'malformed',
  /** No answer: the order may have been carried out, or may be later. */
  noAnswer: 'noAnswer'
} as const
export type OrderErrorCode = typeof ORDER_ERROR_CODES[keyof typeof ORDER_ERROR_CODES]

export interface OrderError {
  readonly code: OrderErrorCode
  readonly message: string
  /** The target's clock, when it answered. */
  readonly targetClockMs?: number | undefined
}

/** Answer to an order: the target's steady clock. */
export interface OrderAnswer {
  readonly targetClockMs: number
}

/** Where a target is reached. */
export interface TargetEndpoint {
  readonly id: string
  readonly address: string
}

export interface StartOrder {
  readonly taskName: string
  readonly run: number
  readonly specification: string
  /** On the target's clock: the order is refused after it. */
  readonly validUntilMs: number
  readonly fencingToken: number
  readonly checkpoint: string
  readonly ticket?: string | undefined
}

export interface StopOrder {
  readonly taskName: string
  readonly run: number
  readonly fencingToken: number
}

export interface PollOrder {
  readonly fencingToken: number
  /** Ends up to this number are stored and may be forgotten. */
  readonly acknowledgedEnd: number
  /** On the target's clock: extends the lease of all that runs there. */
  readonly leaseUntilMs?: number | undefined
  /** How long the target waits for an end before it answers. */
  readonly waitMs: number
}

export interface ReportedRun {
  readonly taskName: string
  readonly run: number
  readonly checkpoint: string
  readonly percent: number
}

export interface ReportedEnd {
  readonly number: number
  readonly taskName: string
  readonly run: number
  readonly outcome: RunOutcome
  readonly checkpoint: string
}

export interface TargetReport extends OrderAnswer {
  /** Unix milliseconds of the target's start; another value is another life. */
  readonly startedAtMs: number
  readonly running: readonly ReportedRun[]
  readonly ended: readonly ReportedEnd[]
}

/** Sends orders to targets. Every order names the target's id, so that another life with another id refuses it. */
export interface TargetGateway {
  startRun (target: TargetEndpoint, order: StartOrder): Promise<Result<OrderAnswer, OrderError>>
  stopRun (target: TargetEndpoint, order: StopOrder): Promise<Result<OrderAnswer, OrderError>>
  fetchReport (target: TargetEndpoint, order: PollOrder): Promise<Result<TargetReport, OrderError>>
  /** Closes the connections to a target that is gone. */
  removeTarget (targetId: string): void
}

/** A target as it describes itself. */
export interface TargetDescription extends TargetEndpoint {
  readonly service: string
  readonly failureDomain: string
  readonly isDraining: boolean
  /** Least time for which a draining target stays, counted from when this was listed; undefined when it doesn't tell. */
  readonly remainingMs?: number | undefined
  readonly capacity: Resources
  readonly labels: readonly string[]
  /** Unix milliseconds of its start; undefined when the target doesn't tell. */
  readonly startedAtMs?: number | undefined
}

export interface TargetDirectoryHandler {
  /** All targets that the directory lists now. */
  onTargets (targets: readonly TargetDescription[]): void
}

/** Follows the list of targets. */
export interface TargetDirectory {
  follow (handler: TargetDirectoryHandler): void
  stop (): void
}
