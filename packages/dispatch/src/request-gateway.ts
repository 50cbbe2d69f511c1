import type { Finding } from '@hibiscusledge/runtime/finding.js'
import type { RequestId } from '@hibiscusledge/runtime/identifiers.js'
import type { TraceContext } from '@hibiscusledge/runtime/trace-context.js'
import type { WaitExplanation } from '@hibiscusledge/scheduling/shard-scheduler.js'
import type { RequestOutcome } from './request-outcome.js'

/** A caller's request whose body has been validated. */
export interface Submission {
  readonly kind: string
  readonly customer: string
  readonly team: string
  /** The route's deadline is the default and the maximum. */
  readonly deadlineMs: number | undefined
  readonly payload: unknown
  readonly idempotencyKey: string | undefined
  /** False for `?wait=0`: the submission resolves as soon as the request is durably accepted. */
  readonly isWaiting: boolean
  readonly trace: TraceContext | undefined
}

export type SubmissionAnswer =
  | { readonly type: 'outcome', readonly outcome: RequestOutcome }
  /** Durably recorded. The outcome can be looked up by the identifier. */
  | { readonly type: 'accepted', readonly requestId: RequestId }
  /** The request itself is invalid, for example an unknown kind or a missing Idempotency-Key. */
  | { readonly type: 'invalid', readonly findings: readonly Finding[] }
  /** The Idempotency-Key was used with another body. */
  | { readonly type: 'conflict', readonly requestId: RequestId }

export type RequestStatus =
  | { readonly type: 'outcome', readonly outcome: RequestOutcome }
  | { readonly type: 'pending', readonly requestId: RequestId }
  /** The coordinator of the request has no record of it. */
  | { readonly type: 'absent' }
  /** The coordinator of the request could not be reached or could not determine the state. */
  | { readonly type: 'unavailable', readonly reason: string }

/** Submits callers' requests to the cluster and queries their state. */
export interface RequestGateway {
  /**
   * Submits a request. `signal` aborts when the caller has disconnected: a request without an idempotency key is then
   * cancelled; one that has a key or is already accepted goes on.
   */
  submit (submission: Submission, signal: AbortSignal): Promise<SubmissionAnswer>
  lookup (requestId: RequestId): Promise<RequestStatus>
  /** Cancels a request and resolves with its state after that. A request that has already been sent may still complete. */
  cancel (requestId: RequestId): Promise<RequestStatus>
  /** Resolves with undefined when the request does not wait, or its coordinator or shard owner can't be reached. */
  explainWait (requestId: RequestId): Promise<WaitExplanation | undefined>
  /** Returns the number of callers that still wait for an answer from this instance. */
  countPending (): number
}
