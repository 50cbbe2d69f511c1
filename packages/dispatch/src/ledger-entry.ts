import { toRequestId, toTargetId, toUnitId } from '@hibiscusledge/runtime/identifiers.js'
import { URGENCIES } from '@hibiscusledge/scheduling/urgency.js'
import { z } from 'zod'
import { requestOutcomeSchema } from './request-outcome.js'

const requestId = z.string().min(1).max(128).transform(toRequestId)
const unit = z.string().min(1).transform(toUnitId)
const target = z.string().min(1).transform(toTargetId)

export const resourcesSchema = z.object({ cores: z.number(), memoryMb: z.number(), accelerators: z.number() })

/** A request as its caller submitted it. */
export const requestFactsSchema = z.object({
  requestId,
  fingerprint: z.string(),
  kind: z.string().min(1),
  customer: z.string(),
  team: z.string(),
  payload: z.unknown().default(null)
})
export type RequestFacts = z.output<typeof requestFactsSchema>

/** The part of a route that a shard needs to schedule and run a request. */
export const workSpecSchema = z.object({
  pool: z.string(),
  urgency: z.enum(URGENCIES),
  resources: resourcesSchema,
  taskCount: z.number().int().min(1),
  isIdempotent: z.boolean(),
  isExclusive: z.boolean(),
  isResumable: z.boolean(),
  isService: z.boolean(),
  runtimeMs: z.number().optional()
})
export type WorkSpec = z.output<typeof workSpecSchema>

/** The request is accepted and must survive the failure of the instance that accepted it. */
const acceptedEntrySchema = z.object({ type: z.literal('accepted'), facts: requestFactsSchema, deadlineWallMs: z.number() })

/** The attempt may be sent to these targets once this entry is committed. */
const intentEntrySchema = z.object({
  type: z.literal('intent'),
  facts: requestFactsSchema.omit({ payload: true }),
  work: workSpecSchema,
  attempt: z.number().int(),
  unit,
  epoch: z.number().int(),
  targets: z.array(target).min(1),
  deadlineWallMs: z.number(),
  recordedWallMs: z.number()
})
export type IntentEntry = z.output<typeof intentEntrySchema>

/** The attempt is known not to have been sent, or to have ended without a result, so its capacity is free. */
const withdrawnEntrySchema = z.object({
  type: z.literal('withdrawn'),
  requestId,
  attempt: z.number().int(),
  /** The attempt ran at least in part, so the request can no longer end as `notRun`. */
  hasRun: z.boolean().optional()
})

/** The outcome of the request. A digest replaces a result that is too large for the ledger. */
const outcomeEntrySchema = z.object({
  type: z.literal('outcome'),
  requestId,
  fingerprint: z.string(),
  outcome: requestOutcomeSchema,
  resultDigest: z.string().optional(),
  isCancelled: z.boolean(),
  endedWallMs: z.number()
})
export type OutcomeEntry = z.output<typeof outcomeEntrySchema>

export const ledgerEntrySchema = z.discriminatedUnion('type', [acceptedEntrySchema, intentEntrySchema, withdrawnEntrySchema, outcomeEntrySchema])
export type LedgerEntry = z.output<typeof ledgerEntrySchema>

/** A stored segment: the entries of one group commit and a nonce that identifies the write. */
export const ledgerSegmentSchema = z.object({ nonce: z.string(), entries: z.array(ledgerEntrySchema) })
