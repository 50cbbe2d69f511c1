import type { RequestId } from '@hibiscusledge/runtime/identifiers.js'

export const OUTCOMES = { completed: 'completed', notRun: 'notRun', unknown: 'unknown' } as const
export type OutcomeName = typeof OUTCOMES[keyof typeof OUTCOMES]

/** What became of a request. */
export type RequestOutcome =
  /** Ran; `result` is the target's whole answer. */
  | { readonly requestId: RequestId, readonly outcome: 'completed', readonly result: unknown }
  /** Proved not to have run. */
  | { readonly requestId: RequestId, readonly outcome: 'notRun', readonly reason: string, readonly retryAfterMs?: number }
  /** May have run; asking again under the same identifier tells once it is known. */
  | { readonly requestId: RequestId, readonly outcome: 'unknown', readonly reason: string }
