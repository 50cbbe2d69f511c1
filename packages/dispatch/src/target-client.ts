import type { RequestId, TargetId } from '@hibiscusledge/runtime/identifiers.js'
import type { TraceContext } from '@hibiscusledge/runtime/trace-context.js'
import type { Resources } from '@hibiscusledge/scheduling/resources.js'

/** What is sent to a target for one task of one attempt. */
export interface RunOrder {
  readonly requestId: RequestId
  readonly attempt: number
  /** Index of the task within a gang; 0 otherwise. */
  readonly taskIndex: number
  readonly kind: string
  readonly resources: Resources
  readonly payload: unknown
  readonly timeoutMs: number
  readonly trace: TraceContext | undefined
}

/** What is known after sending. */
export type RunReport =
  | { readonly type: 'succeeded', readonly result: unknown }
  /** The target ran it and reports a failure of the work itself. */
  | { readonly type: 'failed', readonly message: string }
  /** Proved not to have run: refused, or the connection was never established. */
  | { readonly type: 'notRun', readonly message: string, readonly isLeaving: boolean }
  /** Sent, and no whole answer came. */
  | { readonly type: 'unknown', readonly message: string }

export type RunLookup =
  | { readonly type: 'running' }
  | { readonly type: 'completed', readonly report: RunReport }
  /** The target has no record of it now; a message still in flight could arrive later. */
  | { readonly type: 'absent' }
  | { readonly type: 'unreachable' }

export interface TargetProgress {
  readonly progress: number
  readonly running: number
  readonly isLeaving: boolean
}

/** Sends work to targets of one kind and asks about it. */
export interface TargetClient {
  /** Sends the order at most once and resolves when its end, or that it can't be known, is known. */
  run (targetId: TargetId, address: string, order: RunOrder): Promise<RunReport>
  /** Asks, on a new connection, what became of an attempt. */
  lookup (targetId: TargetId, address: string, requestId: RequestId, attempt: number, taskIndex: number): Promise<RunLookup>
  /** Asks a target to stop a task. True when the task is known to have ended. */
  stop (targetId: TargetId, address: string, requestId: RequestId, attempt: number, taskIndex: number): Promise<boolean>
  readProgress (targetId: TargetId, address: string): Promise<TargetProgress | undefined>
  close (): Promise<void>
}
