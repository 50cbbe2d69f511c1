import type { Finding } from '@hibiscusledge/runtime/finding.js'
import type { RequestId } from '@hibiscusledge/runtime/identifiers.js'
import type { TraceContext } from '@hibiscusledge/runtime/trace-context.js'
import type { WaitExplanation } from '@hibiscusledge/scheduling/shard-scheduler.js'
import type { RequestOutcome } from './request-outcome.js'

/** A caller's request after the entry has checked the shape of its body. */
export interface Submission {
  readonly kind: string
  readonly customer: string
  readonly team: string
  /** Undefined takes the route's deadline; a longer one than the route's is cut to it. */
  readonly deadlineMs: number | undefined
  readonly payload: unknown
  readonly idempotencyKey: string | undefined
  /** False for `?wait=0`: resolves as soon as the request is durably accepted. */
  readonly isWaiting: boolean
  readonly trace: TraceContext | undefined
}

export type SubmissionAnswer =
  | { readonly type: 'outcome', readonly outcome: RequestOutcome }
  /** Durably recorded; ask again under the identifier. */
  | { readonly type: 'accepted', readonly requestId: RequestId }
  /** The request itself is wrong: unknown kind, missing Idempotency-Key and so on. */
  | { readonly type: 'invalid', readonly findings: readonly Finding[] }
  /** The Idempotency-Key was used with another body. */
  | { readonly type: 'conflict', readonly requestId: RequestId }

export type RequestStatus =
  | { readonly type: 'outcome', readonly outcome: RequestOutcome }
  | { readonly type: 'pending', readonly requestId: RequestId }
  /** The home answered that it has no record of the request. */
  | { readonly type: 'absent' }
  /** No home could be asked. */
  | { readonly type: 'unavailable', readonly reason: string }

/** The way from an entry into the cluster. */
export interface RequestGateway {
  /**
   * Submits a request. `signal` aborts when the caller has gone: a keyless request then leaves the queue, a keyed or
   * accepted one goes on.
   */
  submit (submission: Submission, signal: AbortSignal): Promise<SubmissionAnswer>
  lookup (requestId: RequestId): Promise<RequestStatus>
  cancel (requestId: RequestId): Promise<RequestStatus>
  explainWait (requestId: RequestId): Promise<WaitExplanation | undefined>
  /** Requests of callers that this entry still owes an answer. */
  countPending (): number
}
