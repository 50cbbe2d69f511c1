import type { RequestId, TargetId } from '@hibiscusledge/runtime/identifiers.js'
import type { TraceContext } from '@hibiscusledge/runtime/trace-context.js'
import type { Resources } from '@hibiscusledge/scheduling/resources.js'

/** Network address of a target. */
export interface TargetAddress {
  readonly id: TargetId
  /** `host:port` of the target's HTTP interface. */
  readonly address: string
  /** Maximum number of connections that the target accepts. */
  readonly connections: number
}

/** Order to a target to run one task of one attempt. */
export interface RunOrder {
  readonly requestId: RequestId
  readonly attempt: number
  /** Index of the task within a gang; 0 otherwise. */
  readonly taskIndex: number
  readonly kind: string
  /** Non-idempotent orders are sent on a new connection. */
  readonly isIdempotent: boolean
  readonly resources: Resources
  readonly payload: unknown
  /** Checkpoint of an earlier attempt to resume from. */
  readonly checkpoint: string | undefined
  /** How long to wait for the end of the task before its outcome counts as unknown. */
  readonly timeoutMs: number
  readonly trace: TraceContext | undefined
}

/** What is known about an order after it was sent. */
export type RunReport =
  | { readonly type: 'succeeded', readonly result: unknown }
  /** The task ran to its end on the target and failed. */
  | { readonly type: 'failed', readonly message: string }
  /** Known not to have run: the target refused it, or the connection was never established. */
  | { readonly type: 'notRun', readonly message: string, readonly isLeaving: boolean }
  /** Known not to run any more. The task may have run in part. */
  | { readonly type: 'lost', readonly message: string }
  /** The task ended after a checkpoint, from which it can be resumed. */
  | { readonly type: 'checkpointed', readonly checkpoint: string | undefined }
  /** Sent, but no complete answer was received. */
  | { readonly type: 'unknown', readonly message: string }
  /** Another owner has taken over the order and reports its end. */
  | { readonly type: 'detached' }

export interface TargetProgress {
  /** Increases with the work done. A target whose counter stands still while work is running hangs. */
  readonly progress: number
  readonly running: number
  readonly isLeaving: boolean
}

export type UsageListener = (requestId: RequestId, taskIndex: number, usage: Resources) => void

/** Sends orders to targets of one kind and tracks them until they end. */
export interface TargetClient {
  /** Sends the order at most once. Resolves when its end is known, or with `unknown` after its timeout. */
  run (target: TargetAddress, order: RunOrder): Promise<RunReport>
  /** Tracks an order that this or an earlier owner has already sent, without sending it again. */
  attach (target: TargetAddress, order: RunOrder): Promise<RunReport>
  /** Stops tracking all orders of a target. Their promises resolve with `detached`. */
  detach (targetId: TargetId): void
  /** Acknowledges the end of the order: it is recorded, so the target may discard the result. */
  acknowledge (targetId: TargetId, order: RunOrder): void
  /** Asks the target to act on a running task. Its end is reported by `run` or `attach`. */
  requestAction (target: TargetAddress, order: RunOrder, action: 'stop' | 'checkpoint' | 'throttle'): Promise<void>
  /** Resolves with undefined when the target does not answer. */
  readProgress (target: TargetAddress): Promise<TargetProgress | undefined>
  close (): Promise<void>
}
