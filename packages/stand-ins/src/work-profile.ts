import { createHash } from 'node:crypto'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import { z } from 'zod'

/** Instructions to the stand-in, under the key `standIn` of a payload. */
const instructions = z.object({
  standIn: z.object({
    runMs: z.number().min(0).optional(),
    fail: z.boolean().optional(),
    resultBytes: z.number().int().min(0).max(4 * 1024 * 1024).optional(),
    usage: z.object({ cores: z.number().min(0), memoryMb: z.number().min(0), accelerators: z.number().min(0) }).partial().optional()
  })
})
export type WorkInstructions = z.output<typeof instructions>['standIn']

/** Identifies the attempt that it belongs to, with digests of the payload and of `text`. */
export interface WorkResult {
  readonly requestId: string
  readonly attempt: number
  readonly kind: string
  readonly payloadDigest: string
  readonly text: string
  readonly textDigest: string
}

/** Median and sigma (of the logarithm) of the log-normal service times of a kind. */
export interface ServiceTime {
  readonly medianMs: number
  readonly sigma: number
}

export const DEFAULT_SERVICE_TIME: ServiceTime = { medianMs: 20, sigma: 0.3 }

export function parseInstructions (payload: unknown): WorkInstructions {
  const parsed = instructions.safeParse(payload)
  return parsed.success ? parsed.data.standIn : {}
}

/** Returns the service time that the instructions give, or else draws one from the log-normal distribution of the kind. */
export function drawServiceMs (
  kind: string, instructions: WorkInstructions, times: ReadonlyMap<string, ServiceTime>, random: RandomSource
): number {
  if (instructions.runMs !== undefined) return instructions.runMs
  const { medianMs, sigma } = times.get(kind) ?? times.get('default') ?? DEFAULT_SERVICE_TIME
  const normal = Math.sqrt(-2 * Math.log(1 - random.drawFraction())) * Math.cos(2 * Math.PI * random.drawFraction())
  return medianMs * Math.exp(sigma * normal)
}

/** Returns the SHA-256 digest of the payload's JSON text. A caller computes the same digest from the payload that it sent. */
export function computePayloadDigest (payload: unknown): string {
  return computeTextDigest(JSON.stringify(payload ?? null))
}

export function createWorkResult (requestId: string, attempt: number, kind: string, payload: unknown): WorkResult {
  const text = `${requestId}/${attempt};`.padEnd(parseInstructions(payload).resultBytes ?? 0, 'x')
  return { requestId, attempt, kind, payloadDigest: computePayloadDigest(payload), text, textDigest: computeTextDigest(text) }
}

/** Whether a result is intact and belongs to this request and payload. */
export function isIntactResult (result: unknown, requestId: string, payload: unknown): boolean {
  if (typeof result !== 'object' || result === null) return false
  const { requestId: resultRequestId, payloadDigest, text, textDigest } = result as Partial<WorkResult>
  return resultRequestId === requestId && payloadDigest === computePayloadDigest(payload) && computeTextDigest(text ?? '') === textDigest
}

function computeTextDigest (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}
