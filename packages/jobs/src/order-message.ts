import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import { z } from 'zod'
import { ORDER_ERROR_CODES, type OrderAnswer, type OrderError, type TargetGateway, type TargetReport } from './target-gateway.js'
import { RUN_OUTCOMES } from './task-run.js'

const endpointSchema = z.object({ id: z.string(), address: z.string() })
const startSchema = z.object({
  taskName: z.string(),
  run: z.number(),
  specification: z.string(),
  validUntilMs: z.number(),
  fencingToken: z.number(),
  checkpoint: z.string(),
  ticket: z.string().optional()
})
const stopSchema = z.object({ taskName: z.string(), run: z.number(), fencingToken: z.number() })
const pollSchema = z.object({
  fencingToken: z.number(), acknowledgedEnd: z.number(), leaseUntilMs: z.number().optional(), waitMs: z.number()
})
const orderSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('start'), target: endpointSchema, order: startSchema }),
  z.object({ kind: z.literal('stop'), target: endpointSchema, order: stopSchema }),
  z.object({ kind: z.literal('look'), target: endpointSchema, order: pollSchema })
])

/** An order that a delegate sends to a target for the owner. */
export type OrderMessage = z.infer<typeof orderSchema>

const errorSchema = z.object({
  error: z.object({ code: z.enum(ORDER_ERROR_CODES), message: z.string(), targetClockMs: z.number().optional() })
})
const answerSchema = z.object({ answer: z.object({ targetClockMs: z.number() }) })
const rowShape = { taskName: z.string(), run: z.number(), checkpoint: z.string() }
const reportSchema = z.object({
  report: z.object({
    targetClockMs: z.number(),
    startedAtMs: z.number(),
    running: z.array(z.object({ ...rowShape, percent: z.number() })),
    ended: z.array(z.object({ ...rowShape, number: z.number(), outcome: z.enum(RUN_OUTCOMES) })),
    hasMoreEnds: z.boolean().optional()
  })
})

/** Sends the order of a message to its target and returns the reply to the message. Throws on a malformed message. */
export async function serveOrder (gateway: TargetGateway, body: unknown): Promise<unknown> {
  const { kind, target, order } = orderSchema.parse(body)
  if (kind === 'look') {
    const result = await gateway.fetchReport(target, order)
    return result.ok ? { report: result.val } : { error: result.val }
  }
  const result = kind === 'start' ? await gateway.startRun(target, order) : await gateway.stopRun(target, order)
  return result.ok ? { answer: result.val } : { error: result.val }
}

/** Decodes the reply to a start or stop order. */
export function decodeOrderAnswer (body: unknown): Result<OrderAnswer, OrderError> {
  const parsed = answerSchema.safeParse(body)
  return parsed.success ? Ok(parsed.data.answer) : Err(decodeOrderError(body))
}

/** Decodes the reply to a poll. */
export function decodeOrderReport (body: unknown): Result<TargetReport, OrderError> {
  const parsed = reportSchema.safeParse(body)
  return parsed.success ? Ok(parsed.data.report) : Err(decodeOrderError(body))
}

/** Decodes an error. A malformed reply counts as no answer, since it is unknown what the target has done. */
function decodeOrderError (body: unknown): OrderError {
  const parsed = errorSchema.safeParse(body)
  return parsed.success ? parsed.data.error : { code: ORDER_ERROR_CODES.noAnswer, message: 'the reply to the order is malformed' }
}
