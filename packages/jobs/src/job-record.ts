import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import { z } from 'zod'
import { normalizeRequest } from './capacity-tracker.js'
import type { Job } from './job.js'

const RECORD_VERSION = 1

const stepSchema = z.object({
  taskCount: z.number().int().positive(),
  size: z.object({ cpuMillis: z.number(), memoryMb: z.number(), accelerators: z.number() }),
  estimatedMs: z.number(),
  after: z.array(z.number().int().nonnegative()),
  isCheckpointing: z.boolean(),
  isGang: z.boolean(),
  prefersOneRack: z.boolean(),
  requiredLabel: z.string().optional(),
  dataRack: z.string().optional(),
  maximumPerTarget: z.number().int(),
  allowsCopies: z.boolean(),
  isLongRunning: z.boolean(),
  usesIdleCapacity: z.boolean()
})

const jobSchema = z.object({
  id: z.string().min(1),
  terms: z.object({
    queue: z.string(),
    service: z.string(),
    priority: z.number(),
    maximumAttempts: z.number(),
    stretch: z.number(),
    targetDurationMs: z.number(),
    advice: z.object({ decisionMs: z.number(), perTargetMs: z.number(), validityMs: z.number() }).optional()
  }),
  account: z.string().optional(),
  specification: z.string(),
  steps: z.array(stepSchema).min(1),
  schedule: z.object({ occurrences: z.number().int().positive(), firstDueMs: z.number(), intervalMs: z.number() }).optional(),
  acceptedAtMs: z.number()
})

const recordSchema = z.object({ version: z.literal(RECORD_VERSION), job: jobSchema })

/** Encodes a job for the store. */
export function encodeJob (job: Job): string {
  return JSON.stringify({ version: RECORD_VERSION, job })
}

/** Decodes a stored job. The error names the invalid fields. */
export function decodeJob (text: string): Result<Job, string> {
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch (error) {
    return Err(`the job record is not JSON: ${String(error)}`)
  }
  const parsed = recordSchema.safeParse(value)
  if (parsed.success) return Ok(normalizeSizes(parsed.data.job))
  return Err(`the job record is invalid at ${parsed.error.issues.map((issue) => issue.path.join('.')).join(', ')}`)
}

/** Rounds the sizes of the tasks, so that the owner counts them exactly. */
function normalizeSizes (job: Job): Job {
  return { ...job, steps: job.steps.map((step) => ({ ...step, size: normalizeRequest(step.size) })) }
}
