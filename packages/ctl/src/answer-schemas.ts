import { URGENCIES } from '@hibiscusledge/scheduling/urgency.js'
import { z } from 'zod'

// Unknown fields are kept, so that --json prints what newer instances add.
const revision = z.number().int().min(0)
const byUrgency = z.record(z.enum(URGENCIES), z.number())

export const findingsAnswer = z.looseObject({
  findings: z.array(z.looseObject({ code: z.string(), place: z.string(), message: z.string() }))
})

/** Answers without an outcome, such as `{ code: 'noTables', message }`. */
export const errorAnswer = z.looseObject({ code: z.string().optional(), message: z.string().optional(), reason: z.string().optional() })

export const tablesAnswer = z.looseObject({ revision, hash: z.string(), routes: z.string(), pools: z.string() })

export const acceptedAnswer = z.looseObject({ revision, hash: z.string() })

export const conflictAnswer = z.looseObject({
  currentRevision: revision,
  currentAuthor: z.string(),
  currentAppliedAt: z.string(),
  expectedRevision: revision,
  author: z.string()
})
export type ConflictAnswer = z.infer<typeof conflictAnswer>

export const outcomeAnswer = z.looseObject({
  requestId: z.string(),
  outcome: z.enum(['completed', 'notRun', 'unknown', 'pending']),
  result: z.unknown().optional(),
  reason: z.string().optional(),
  retryAfterMs: z.number().optional()
})
export type OutcomeAnswer = z.infer<typeof outcomeAnswer>

export const explanationAnswer = z.looseObject({
  requestId: z.string(),
  pool: z.string(),
  urgency: z.string(),
  position: z.number(),
  estimatedWaitMs: z.number(),
  reason: z.string()
})
export type ExplanationAnswer = z.infer<typeof explanationAnswer>

const poolLoad = z.looseObject({
  pool: z.string(), targetCount: z.number(), freeShare: z.number(), queued: byUrgency, estimatedWaitMs: byUrgency
})

export const statusAnswer = z.looseObject({
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
export type StatusAnswer = z.infer<typeof statusAnswer>
