import { toRequestId, type RequestId } from '@hibiscusledge/runtime/identifiers.js'
import { z } from 'zod'

export const OUTCOMES = { completed: 'completed', notRun: 'notRun', unknown: 'unknown' } as const
export type OutcomeName = typeof OUTCOMES[keyof typeof OUTCOMES]

/** What became of a request. */
export type RequestOutcome =
  /** Ran; `result` is the target's whole answer. */
  | { readonly requestId: RequestId, readonly outcome: 'completed', readonly result: unknown }
  /** Proved not to have run. */
  | { readonly requestId: RequestId, readonly outcome: 'notRun', readonly reason: string, readonly retryAfterMs?: number | undefined }
  /** May have run; asking again under the same identifier tells once it is known. */
  | { readonly requestId: RequestId, readonly outcome: 'unknown', readonly reason: string }

const requestIdSchema = z.string().min(1).max(128).transform(toRequestId)

/** Checks an outcome that came from another instance or from the store. */
export const requestOutcomeSchema = z.discriminatedUnion('outcome', [
  z.object({ requestId: requestIdSchema, outcome: z.literal('completed'), result: z.unknown().default(null) }),
  z.object({ requestId: requestIdSchema, outcome: z.literal('notRun'), reason: z.string(), retryAfterMs: z.number().optional() }),
  z.object({ requestId: requestIdSchema, outcome: z.literal('unknown'), reason: z.string() })
])
