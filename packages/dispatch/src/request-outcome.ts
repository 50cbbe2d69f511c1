import { toRequestId, type RequestId } from '@hibiscusledge/runtime/identifiers.js'
import { z } from 'zod'

export const OUTCOMES = { completed: 'completed', notRun: 'notRun', unknown: 'unknown' } as const
export type OutcomeName = typeof OUTCOMES[keyof typeof OUTCOMES]

/** How a request ended. */
export type RequestOutcome =
  /** Ran. `result` is the complete answer of the target, or an error that it reported. */
  | { readonly requestId: RequestId, readonly outcome: 'completed', readonly result: unknown }
  /** Known not to have run. */
  | { readonly requestId: RequestId, readonly outcome: 'notRun', readonly reason: string, readonly retryAfterMs?: number | undefined }
  /** May have run. A later lookup of the same identifier returns the actual outcome once it is known. */
  | { readonly requestId: RequestId, readonly outcome: 'unknown', readonly reason: string }

const requestIdSchema = z.string().min(1).max(128).transform(toRequestId)

/** Validates an outcome from another instance or from the store. */
export const requestOutcomeSchema = z.discriminatedUnion('outcome', [
  z.object({ requestId: requestIdSchema, outcome: z.literal('completed'), result: z.unknown().default(null) }),
  z.object({ requestId: requestIdSchema, outcome: z.literal('notRun'), reason: z.string(), retryAfterMs: z.number().optional() }),
  z.object({ requestId: requestIdSchema, outcome: z.literal('unknown'), reason: z.string() })
])
