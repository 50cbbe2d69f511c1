import { toRequestId, toTargetId, toUnitId } from '@hibiscusledge/runtime/identifiers.js'
import { URGENCIES } from '@hibiscusledge/scheduling/urgency.js'
import { z } from 'zod'
import { requestFactsSchema, workSpecSchema } from './ledger-entry.js'
import { requestOutcomeSchema } from './request-outcome.js'

const requestId = z.string().min(1).max(128).transform(toRequestId)
const unit = z.string().min(1).max(256).transform(toUnitId)
const target = z.string().min(1).max(256).transform(toTargetId)
const duration = z.number().finite()

/** Entry to home: take the request, or join it when it is known. */
export const submitSchema = z.object({
  facts: requestFactsSchema,
  isKeyed: z.boolean(),
  isWaiting: z.boolean(),
  remainingMs: duration,
  /** Tells a repeated or late message of one caller's submission from a new submission under the same key. */
  submission: z.string().max(64).optional(),
  /** An earlier submit may have reached a home, which may have had the request run. */
  mayBeKnown: z.boolean().optional()
})
export type SubmitMessage = z.output<typeof submitSchema>

export const submitReplySchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('pending') }),
  z.object({ type: z.literal('accepted') }),
  z.object({ type: z.literal('outcome'), outcome: requestOutcomeSchema }),
  z.object({ type: z.literal('conflict') }),
  /** The receiver does not serve the partition now. Nothing was done. */
  z.object({ type: z.literal('notOwner') }),
  /** The request can't be recorded now. Nothing was done. */
  z.object({ type: z.literal('unavailable'), reason: z.string() })
])
export type SubmitReply = z.output<typeof submitReplySchema>

/** Home to entry: what became of a request that the entry waits for. */
export const outcomeSchema = z.object({ outcome: requestOutcomeSchema })

/** Entry to home: state of a request, or its cancellation. */
export const requestQuerySchema = z.object({ requestId })

export const requestStatusSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('outcome'), outcome: requestOutcomeSchema }),
  z.object({ type: z.literal('pending'), requestId }),
  z.object({ type: z.literal('absent') }),
  z.object({ type: z.literal('notOwner') }),
  z.object({ type: z.literal('unavailable'), reason: z.string() })
])
export type RequestStatusReply = z.output<typeof requestStatusSchema>

/** Home to shard owner: queue one attempt. */
export const enqueueSchema = z.object({
  unit,
  /** Epoch of the shard owner that the attempt is meant for. A later owner refuses it. */
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
  /** Attempts before this one that may have run; 0 for the first. */
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

/** Shard owner to home: record the intent before the send. */
export const recordIntentSchema = z.object({
  requestId,
  attempt: z.number().int(),
  unit,
  epoch: z.number().int(),
  ownerModRevision: z.number().int(),
  targets: z.array(target).min(1).max(1024)
})
export type RecordIntentMessage = z.output<typeof recordIntentSchema>

export const recordIntentReplySchema = z.object({
  isGranted: z.boolean(),
  reason: z.string().optional(),
  /** How long the home worked on the message, so that the shard owner can tell how old the acknowledgement may be. */
  heldMs: z.number().min(0).optional()
})
export type RecordIntentReply = z.output<typeof recordIntentReplySchema>

/** How an attempt ended at the shard. */
export const attemptReportSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('succeeded'), result: z.unknown().default(null) }),
  z.object({ type: z.literal('failed'), message: z.string() }),
  /** Proved not to have been sent or not to have run; the request may be assigned again. */
  z.object({ type: z.literal('notRun'), message: z.string(), target: target.optional() }),
  z.object({ type: z.literal('expired') }),
  z.object({ type: z.literal('lost'), message: z.string(), target: target.optional() }),
  z.object({ type: z.literal('checkpointed'), checkpoint: z.string().optional() }),
  z.object({ type: z.literal('unknown'), message: z.string(), target: target.optional() })
])
export type AttemptReport = z.output<typeof attemptReportSchema>

/** Shard owner to home; repeated until the home acknowledges it. */
export const attemptResultSchema = z.object({ requestId, attempt: z.number().int(), report: attemptReportSchema })
export type AttemptResultMessage = z.output<typeof attemptResultSchema>

export const attemptResultReplySchema = z.object({ isRecorded: z.boolean() })

/** Home to shard owner: take the attempt out of the queue, or stop it where it runs. */
export const withdrawSchema = z.object({ unit, requestId, attempt: z.number().int(), isStopWanted: z.boolean() })
export type WithdrawMessage = z.output<typeof withdrawSchema>

/** `queued`: it was in the queue and is not sent. `absent`: this owner never had it or has already reported its end. */
export const withdrawReplySchema = z.object({ state: z.enum(['queued', 'sent', 'absent', 'notOwner']) })
export type WithdrawReply = z.output<typeof withdrawReplySchema>

/** Home to shard owner: why a request waits. */
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

/** Former shard owner to its successor: what still runs on the targets, and later what has ended. */
export const handOverSchema = z.object({
  unit,
  running: z.array(runningSchema).max(10_000),
  ended: z.array(z.object({ requestId, attempt: z.number().int() })).max(10_000)
})
export type HandOverMessage = z.output<typeof handOverSchema>

/** Answer to both kinds of explain message. */
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

/** Kinds of messages that this package adds to those of the peer package. */
export const DISPATCH_MESSAGE_KINDS = { explain: 'explain', explainRequest: 'explainRequest' } as const
