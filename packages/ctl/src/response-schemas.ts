import { URGENCIES } from '@hibiscusledge/scheduling/urgency.js'
import { z } from 'zod'

// The schemas keep unknown fields, so that --json also prints fields that newer instances add.
const revision = z.number().int().min(0)
const byUrgency = z.record(z.enum(URGENCIES), z.number())

export const findingsResponse = z.looseObject({
  findings: z.array(z.looseObject({ code: z.string(), place: z.string(), message: z.string() }))
})

/** Body of an error response, such as `{ code: 'noTables', message }`. */
export const errorResponse = z.looseObject({ code: z.string().optional(), message: z.string().optional(), reason: z.string().optional() })

export const tablesResponse = z.looseObject({ revision, hash: z.string(), routes: z.string(), pools: z.string() })

export const acceptedResponse = z.looseObject({ revision, hash: z.string() })

export const conflictResponse = z.looseObject({
  currentRevision: revision,
  currentAuthor: z.string(),
  currentAppliedAt: z.string(),
  expectedRevision: revision,
  author: z.string()
})
export type ConflictResponse = z.infer<typeof conflictResponse>

export const outcomeResponse = z.looseObject({
  requestId: z.string(),
  outcome: z.enum(['completed', 'notRun', 'unknown', 'pending']),
  result: z.unknown().optional(),
  reason: z.string().optional(),
  retryAfterMs: z.number().optional()
})
export type OutcomeResponse = z.infer<typeof outcomeResponse>

export const explanationResponse = z.looseObject({
  requestId: z.string(),
  pool: z.string(),
  urgency: z.string(),
  position: z.number(),
  estimatedWaitMs: z.number(),
  reason: z.string()
})
export type ExplanationResponse = z.infer<typeof explanationResponse>

const poolLoad = z.looseObject({
  pool: z.string(), targetCount: z.number(), freeShare: z.number(), queued: byUrgency, estimatedWaitMs: byUrgency
})

export const statusResponse = z.looseObject({
  instance: z.string(),
  incarnation: z.string(),
  failureDomain: z.string(),
  state: z.string(),
  tableRevision: revision.nullable(),
  members: z.array(z.looseObject({
    instance: z.string(), incarnation: z.string(), failureDomain: z.string(), isDraining: z.boolean(), isConnected: z.boolean()
  })),
  units: z.array(z.looseObject({ unit: z.string(), owner: z.string(), epoch: z.number() })),
  loads: z.array(z.looseObject({ unit: z.string(), pools: z.array(poolLoad) })),
  store: z.looseObject({ isAvailable: z.boolean(), lastAnswerAgeMs: z.number().nullable() })
})
export type StatusResponse = z.infer<typeof statusResponse>
