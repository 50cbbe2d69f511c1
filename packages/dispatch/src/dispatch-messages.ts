import { toRequestId, toTargetId, toUnitId } from '@hibiscusledge/runtime/identifiers.js'
import { URGENCIES } from '@hibiscusledge/scheduling/urgency.js'
import { z } from 'zod'
import { requestFactsSchema, workSpecSchema } from './ledger-entry.js'
import { requestOutcomeSchema } from './request-outcome.js'

const requestId = z.string().min(1).max(128).transform(toRequestId)
const unit = z.string().min(1).max(256).transform(toUnitId)
const target = z.string().min(1).max(256).transform(toTargetId)
const duration = z.number().finite()

/** Entry instance to coordinator: submits a request, or joins it when the coordinator already has it. */
export const submitSchema = z.object({
  facts: requestFactsSchema,
  isKeyed: z.boolean(),
  isWaiting: z.boolean(),
  remainingMs: duration,
  /** Distinguishes a repeated or late message of one submission from a new submission under the same idempotency key. */
  submission: z.string().max(64).optional(),
  /** An earlier submit message may have reached a coordinator, which may have started the request. */
  mayBeKnown: z.boolean().optional()
})
export type SubmitMessage = z.output<typeof submitSchema>

export const submitReplySchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('pending') }),
  z.object({ type: z.literal('accepted') }),
  z.object({ type: z.literal('outcome'), outcome: requestOutcomeSchema }),
  z.object({ type: z.literal('conflict') }),
  /** The receiver does not serve the partition. The message had no effect. */
  z.object({ type: z.literal('notOwner') }),
  /** The coordinator can't accept the request now. The message had no effect. */
  z.object({ type: z.literal('unavailable'), reason: z.string() })
])
export type SubmitReply = z.output<typeof submitReplySchema>

/** Coordinator to entry instance: the outcome of a request that the entry instance waits for. */
export const outcomeSchema = z.object({ outcome: requestOutcomeSchema })

/** Entry instance to coordinator: looks up, cancels or explains a request. */
export const requestQuerySchema = z.object({ requestId })

export const requestStatusSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('outcome'), outcome: requestOutcomeSchema }),
  z.object({ type: z.literal('pending'), requestId }),
  z.object({ type: z.literal('absent') }),
  z.object({ type: z.literal('notOwner') }),
  z.object({ type: z.literal('unavailable'), reason: z.string() })
])
export type RequestStatusReply = z.output<typeof requestStatusSchema>

/** Coordinator to shard owner: queues one attempt. */
export const enqueueSchema = z.object({
  unit,
  /** Epoch of the shard owner that the attempt is meant for. An owner of another epoch refuses it. */
  epoch: z.number().int(),
  requestId,
  attempt: z.number().int(),
  kind: z.string(),
  customer: z.string(),
  team: z.string(),
  work: workSpecSchema,
  payload: z.unknown().default(null),
  remainingMs: duration,
  isIntentNeeded: z.boolean(),
  /** Number of earlier attempts that may have run. */
  retries: z.number().int().min(0),
  checkpoint: z.string().optional(),
  excludedTargets: z.array(target).max(64)
})
export type EnqueueMessage = z.output<typeof enqueueSchema>

export const enqueueReplySchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('admitted') }),
  z.object({ type: z.literal('rejected'), reason: z.string(), detail: z.string(), retryAfterMs: z.number().optional() }),
  z.object({ type: z.literal('notOwner') })
])
export type EnqueueReply = z.output<typeof enqueueReplySchema>

/** Shard owner to coordinator: records the intent of an attempt before it is sent to its targets. */
export const recordIntentSchema = z.object({
  requestId,
  attempt: z.number().int(),
  unit,
  epoch: z.number().int(),
  /** Modification revision of the shard's owner record. The intent is committed only while the record is unchanged. */
  ownerModRevision: z.number().int(),
  targets: z.array(target).min(1).max(1024)
})
export type RecordIntentMessage = z.output<typeof recordIntentSchema>

export const recordIntentReplySchema = z.object({
  isGranted: z.boolean(),
  reason: z.string().optional(),
  /** How long the coordinator processed the message. The shard owner derives the maximum age of the acknowledgement from it. */
  heldMs: z.number().min(0).optional()
})
export type RecordIntentReply = z.output<typeof recordIntentReplySchema>

/** How an attempt ended, as the shard owner reports it. */
export const attemptReportSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('succeeded'), result: z.unknown().default(null) }),
  z.object({ type: z.literal('failed'), message: z.string() }),
  /** Known not to have been sent or not to have run. The request may be assigned again. */
  z.object({ type: z.literal('notRun'), message: z.string(), target: target.optional() }),
  z.object({ type: z.literal('expired') }),
  z.object({ type: z.literal('lost'), message: z.string(), target: target.optional() }),
  z.object({ type: z.literal('checkpointed'), checkpoint: z.string().optional() }),
  z.object({ type: z.literal('unknown'), message: z.string(), target: target.optional() })
])
export type AttemptReport = z.output<typeof attemptReportSchema>

/** Shard owner to coordinator: the end of an attempt. Repeated until the coordinator has recorded it. */
export const attemptResultSchema = z.object({ requestId, attempt: z.number().int(), report: attemptReportSchema })
export type AttemptResultMessage = z.output<typeof attemptResultSchema>

export const attemptResultReplySchema = z.object({ isRecorded: z.boolean() })

/** Coordinator to shard owner: removes the attempt from the queue, or stops it if it runs and `isStopWanted` is set. */
export const withdrawSchema = z.object({ unit, requestId, attempt: z.number().int(), isStopWanted: z.boolean() })
export type WithdrawMessage = z.output<typeof withdrawSchema>

/**
 * `queued`: the attempt had not been sent and will not be. `absent`: this owner never had the attempt, or has already
 * reported its end.
 */
export const withdrawReplySchema = z.object({ state: z.enum(['queued', 'sent', 'absent', 'notOwner']) })
export type WithdrawReply = z.output<typeof withdrawReplySchema>

/** Coordinator to shard owner: asks why a request waits. */
export const explainSchema = z.object({ unit, requestId })

const runningSchema = z.object({
  requestId,
  attempt: z.number().int(),
  kind: z.string(),
  customer: z.string(),
  team: z.string(),
  work: workSpecSchema,
  targets: z.array(target)
})

/** Former shard owner to its successor: the attempts that still run on the targets, and later those that have ended. */
export const handOverSchema = z.object({
  unit,
  running: z.array(runningSchema).max(10_000),
  ended: z.array(z.object({ requestId, attempt: z.number().int() })).max(10_000)
})
export type HandOverMessage = z.output<typeof handOverSchema>

/** Reply to both explain messages. */
export const explanationReplySchema = z.object({
  explanation: z.object({
    requestId,
    pool: z.string(),
    urgency: z.enum(URGENCIES),
    position: z.number(),
    estimatedWaitMs: z.number(),
    reason: z.string()
  }).optional()
})

/** Message kinds that this package adds to those of the peer package. */
export const DISPATCH_MESSAGE_KINDS = { explain: 'explain', explainRequest: 'explainRequest' } as const
