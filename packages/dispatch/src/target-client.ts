import type { RequestId, TargetId } from '@hibiscusledge/runtime/identifiers.js'
import type { TraceContext } from '@hibiscusledge/runtime/trace-context.js'
import type { Resources } from '@hibiscusledge/scheduling/resources.js'

/** Where a target is reached. */
export interface TargetAddress {
  readonly id: TargetId
  /** `host:port` of the target's HTTP interface. */
  readonly address: string
  /** How many connections the target accepts. */
  readonly connections: number
}

/** What is sent to a target for one task of one attempt. */
export interface RunOrder {
  readonly requestId: RequestId
  readonly attempt: number
  /** Index of the task within a gang; 0 otherwise. */
  readonly taskIndex: number
  readonly kind: string
  /** Non-idempotent orders go over a connection of their own. */
  readonly isIdempotent: boolean
  readonly resources: Resources
  readonly payload: unknown
  /** What a checkpoint of an earlier attempt left, to resume from. */
  readonly checkpoint: string | undefined
  /** How long to wait for the end of the work before its outcome counts as not known. */
  readonly timeoutMs: number
  readonly trace: TraceContext | undefined
}

/** What is known after sending. */
export type RunReport =
  | { readonly type: 'succeeded', readonly result: unknown }
  /** The target ran it to its end and reports a failure of the work itself. */
  | { readonly type: 'failed', readonly message: string }
  /** Proved not to have run: refused, or the connection was never established. */
  | { readonly type: 'notRun', readonly message: string, readonly isLeaving: boolean }
  /** Proved not to be running any more; it may have run in part. */
  | { readonly type: 'lost', readonly message: string }
  /** A checkpoint was taken and the task has ended; it can be resumed. */
  | { readonly type: 'checkpointed', readonly checkpoint: string | undefined }
  /** Sent, and no whole answer came. */
  | { readonly type: 'unknown', readonly message: string }
  /** The order was handed to another owner, which reports its end. */
  | { readonly type: 'detached' }

export interface TargetProgress {
  /** Counts up with the work done; frozen while work is running means that the target hangs. */
  readonly progress: number
  readonly running: number
  readonly isLeaving: boolean
}

export type UsageListener = (requestId: RequestId, taskIndex: number, usage: Resources) => void

/** Sends work to targets of one kind and follows it to its end. */
export interface TargetClient {
  /** Sends the order at most once and resolves when its end, or that the end can't be known in time, is known. */
  run (target: TargetAddress, order: RunOrder): Promise<RunReport>
  /** Follows an order that was sent before, by this owner or an earlier one, without sending it. */
  attach (target: TargetAddress, order: RunOrder): Promise<RunReport>
  /** Stops following all orders of a target; their promises resolve as `detached`. */
  detach (targetId: TargetId): void
  /** The result of the order is recorded; the target may forget it. */
  acknowledge (targetId: TargetId, order: RunOrder): void
  /** Asks the target to act on a running task. Its end is reported by `run` or `attach`. */
  requestAction (target: TargetAddress, order: RunOrder, action: 'stop' | 'checkpoint' | 'throttle'): Promise<void>
  readProgress (target: TargetAddress): Promise<TargetProgress | undefined>
  close (): Promise<void>
}
