import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import { z } from 'zod'
import type { Mutation } from '@hibiscusledge/store/key-value-store.js'
import { formatCancelKey, formatFinishedKey, formatJobKey, formatProgressKey } from './job-keys.js'
import { isFinalState, JOB_STATES, type JobState } from './job.js'
import type { JobProgress } from './job-progress.js'
import type { StepProgress } from './step-progress.js'

const RECORD_VERSION = 1

const stepSchema = z.object({
  occurrence: z.number().int().nonnegative(),
  step: z.number().int().nonnegative(),
  /** Indexes of the tasks that are done; true when all are. */
  done: z.union([z.literal(true), z.array(z.number())]),
  /** Task index, run number and target of each run that may be on a target. */
  runs: z.array(z.tuple([z.number(), z.number(), z.string()])),
  failures: z.array(z.tuple([z.number(), z.number()])),
  gangFailures: z.number(),
  checkpoints: z.array(z.tuple([z.number(), z.string()]))
})

const recordSchema = z.object({
  version: z.literal(RECORD_VERSION),
  state: z.enum(JOB_STATES),
  occurrences: z.number().int().nonnegative(),
  steps: z.array(stepSchema)
})

/** A job's progress as stored. */
export type ProgressRecord = z.infer<typeof recordSchema>
type StepRecord = ProgressRecord['steps'][number]

const finishedSchema = z.object({ version: z.literal(RECORD_VERSION), state: z.enum(JOB_STATES), finishedAtMs: z.number() })

/** The final state of a job as stored. */
export type FinishedRecord = z.infer<typeof finishedSchema>

/** Builds the mutations that store a job's progress, or only its final state once none of its runs is left. */
export function buildMutations (progress: JobProgress, wallMs: number): Mutation[] {
  const { id } = progress.job
  const state = progress.readState()
  if (!isFinalState(state) || progress.hasRuns()) return [{ type: 'put', key: formatProgressKey(id), value: encodeProgress(progress) }]
  const record: FinishedRecord = { version: RECORD_VERSION, state, finishedAtMs: wallMs }
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
  const state = progress.readState()
  const steps = progress.occurrences.flatMap((occurrence) => occurrence.flatMap((step) => encodeStep(step, state)))
  return JSON.stringify({ version: RECORD_VERSION, state, occurrences: progress.occurrences.length, steps })
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
  if (parsed.success) return Ok(parsed.data)
  return Err(`the progress record is invalid at ${parsed.error.issues.map((issue) => issue.path.join('.')).join(', ')}`)
}

/** Returns the record of a step; empty when there is nothing to store about it. */
function encodeStep (step: StepProgress, state: JobState): StepRecord[] {
  const runs = step.tasks.flatMap(({ key, run }): StepRecord['runs'] => run === undefined ? [] : [[key.index, run.number, run.targetId]])
  if (isFinalState(state) && runs.length === 0) return []
  const done = step.tasks.filter((task) => task.isDone).map((task) => task.key.index)
  const failures = step.tasks.flatMap(({ key, failures }): StepRecord['failures'] => failures === 0 ? [] : [[key.index, failures]])
  const checkpoints = step.tasks.flatMap(({ key, isDone, checkpoint }): StepRecord['checkpoints'] =>
    isDone || checkpoint === '' ? [] : [[key.index, checkpoint]])
  if (done.length + runs.length + failures.length + checkpoints.length === 0) return []
  const first = step.tasks[0]
  if (first === undefined) return []
  const { occurrence, step: index } = first.key
  return [{
    occurrence,
    step: index,
    done: step.isComplete() ? true : done,
    runs,
    failures,
    gangFailures: step.gangFailures,
    checkpoints
  }]
}
