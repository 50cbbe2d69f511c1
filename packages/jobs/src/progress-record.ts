import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import type { Mutation } from '@hibiscusledge/store/key-value-store.js'
import { z } from 'zod'
import { buildCompactRecord, compactRecordSchema, convertCompactRecord } from './compact-progress-record.js'
import { listIndexes, type IndexRange } from './index-ranges.js'
import { formatCancelKey, formatFinishedKey, formatJobKey, formatProgressKey } from './job-keys.js'
import type { JobProgress } from './job-progress.js'
import { isFinalState, JOB_STATES, type JobState } from './job.js'
import { buildStepRecord, convertPlainStep, convertToPlainStep, createCompleteRecord, plainStepSchema, type StepRecord } from './step-record.js'

const PLAIN_VERSION = 1
const FINISHED_VERSION = 1

/** A job with more steps in all of its added occurrences, or with more open tasks, is stored in the compact form. */
const MAXIMUM_PLAIN_STEPS = 1_000
const MAXIMUM_PLAIN_TASKS = 5_000

/** Form that every build reads. It lists each complete step, so it is used for short records only. */
const plainRecordSchema = z.object({
  version: z.literal(PLAIN_VERSION),
  state: z.enum(JOB_STATES),
  occurrences: z.number().int().nonnegative(),
  steps: z.array(plainStepSchema)
})

const recordSchema = z.discriminatedUnion('version', [plainRecordSchema, compactRecordSchema])

/** A job's progress as stored, in either form. */
export interface ProgressRecord {
  readonly state: JobState
  /** Number of occurrences that were added. */
  readonly occurrences: number
  /** Occurrences of which all steps are complete. */
  readonly completed: readonly IndexRange[]
  /** The steps of the other occurrences of which something is stored. */
  readonly steps: readonly StepRecord[]
}

const finishedSchema = z.object({
  version: z.literal(FINISHED_VERSION),
  state: z.enum(JOB_STATES),
  finishedAtMs: z.number(),
  /** Left out for a job without an account, and by builds that don't know accounts. */
  account: z.string().optional()
})

/** The final state of a job as stored. */
export type FinishedRecord = z.infer<typeof finishedSchema>

/** Builds the mutations that store a job's progress, or only its final state once none of its runs is left. */
export function buildMutations (progress: JobProgress, wallMs: number): Mutation[] {
  const { id, account } = progress.job
  const state = progress.readState()
  if (!isFinalState(state) || progress.hasRuns()) return [{ type: 'put', key: formatProgressKey(id), value: encodeProgress(progress) }]
  const record: FinishedRecord = { version: FINISHED_VERSION, state, finishedAtMs: wallMs, ...(account === undefined ? {} : { account }) }
  return [
    { type: 'put', key: formatFinishedKey(id), value: JSON.stringify(record) },
    { type: 'delete', key: formatJobKey(id) },
    { type: 'delete', key: formatProgressKey(id) },
    ...(progress.isCancelled ? [{ type: 'delete', key: formatCancelKey(id) } as const] : [])
  ]
}

/** Decodes a stored final state. The error says what is wrong. */
export function decodeFinished (text: string): Result<FinishedRecord, string> {
  try {
    const parsed = finishedSchema.safeParse(JSON.parse(text))
    return parsed.success ? Ok(parsed.data) : Err('the record of a finished job is invalid')
  } catch (error) {
    return Err(`the record of a finished job is not JSON: ${String(error)}`)
  }
}

/** Encodes a job's progress for the store. */
export function encodeProgress (progress: JobProgress): string {
  const isShort = progress.countAdded() * progress.job.steps.length <= MAXIMUM_PLAIN_STEPS &&
    progress.countOpenTasks() <= MAXIMUM_PLAIN_TASKS
  return JSON.stringify(isShort ? buildPlainRecord(progress) : buildCompactRecord(progress))
}

/** Decodes a job's stored progress. The error names the invalid fields. */
export function decodeProgress (text: string): Result<ProgressRecord, string> {
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch (error) {
    return Err(`the progress record is not JSON: ${String(error)}`)
  }
  const parsed = recordSchema.safeParse(value)
  if (!parsed.success) return Err(`the progress record is invalid at ${parsed.error.issues.map((issue) => issue.path.join('.')).join(', ')}`)
  return Ok(parsed.data.version === PLAIN_VERSION ? convertPlainRecord(parsed.data) : convertCompactRecord(parsed.data))
}

function buildPlainRecord (progress: JobProgress): z.infer<typeof plainRecordSchema> {
  const state = progress.readState()
  const open = [...progress.listOpen()].flatMap((steps) => steps.flatMap((step) => buildStepRecord(step, state) ?? []))
  const completed = isFinalState(state) ? [] : listCompletedSteps(progress)
  return { version: PLAIN_VERSION, state, occurrences: progress.countAdded(), steps: [...completed, ...open].map(convertToPlainStep) }
}

function convertPlainRecord ({ state, occurrences, steps }: z.infer<typeof plainRecordSchema>): ProgressRecord {
  return { state, occurrences, completed: [], steps: steps.map(convertPlainStep) }
}

/** Lists the steps of the completed occurrences, of which memory holds only the indexes. */
function listCompletedSteps (progress: JobProgress): StepRecord[] {
  return [...listIndexes(progress.listCompleted())].flatMap((occurrence) => {
    return progress.job.steps.map((_, step) => createCompleteRecord(occurrence, step))
  })
}
