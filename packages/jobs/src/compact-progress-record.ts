import { z } from 'zod'
import { IndexSet, listIndexes } from './index-ranges.js'
import type { JobProgress } from './job-progress.js'
import { isFinalState, JOB_STATES, type JobState } from './job.js'
import type { ProgressRecord } from './progress-record.js'
import type { StepProgress } from './step-progress.js'
import { buildStepRecord, checkpointsSchema, createCompleteRecord, failuresSchema, runsSchema, type StepRecord } from './step-record.js'

const COMPACT_VERSION = 2

const rangesSchema = z.array(z.tuple([z.number().int().nonnegative(), z.number().int().nonnegative()]))

/** A step that isn't complete or still has runs. Empty lists are left out. */
const stepSchema = z.object({
  step: z.number().int().nonnegative(),
  done: rangesSchema.default([]),
  runs: runsSchema.default([]),
  failures: failuresSchema.default([]),
  gangFailures: z.number().default(0),
  checkpoints: checkpointsSchema.default([])
})

const occurrenceSchema = z.object({
  occurrence: z.number().int().nonnegative(),
  /** Steps that are complete and have no runs. */
  completeSteps: rangesSchema.default([]),
  steps: z.array(stepSchema).default([])
})

/**
 * Form of a progress record whose length depends only on the open work. A build that knows only the plain form rejects it by its
 * version and leaves the job to a later owner.
 */
export const compactRecordSchema = z.object({
  version: z.literal(COMPACT_VERSION),
  state: z.enum(JOB_STATES),
  occurrences: z.number().int().nonnegative(),
  completed: rangesSchema,
  /** The occurrences that are not completed and of which something is stored. */
  open: z.array(occurrenceSchema)
})

export function buildCompactRecord (progress: JobProgress): z.input<typeof compactRecordSchema> {
  const state = progress.readState()
  const open = [...progress.listOpen()].flatMap((steps) => buildOccurrence(steps, state))
  return { version: COMPACT_VERSION, state, occurrences: progress.countAdded(), completed: progress.listCompleted(), open }
}

/** Converts a compact record to the common type. */
export function convertCompactRecord ({ state, occurrences, completed, open }: z.output<typeof compactRecordSchema>): ProgressRecord {
  const steps = open.flatMap(({ occurrence, completeSteps, steps }): StepRecord[] => [
    ...[...listIndexes(completeSteps)].map((step) => createCompleteRecord(occurrence, step)),
    ...steps.map((record) => ({ ...record, occurrence }))
  ])
  return { state, occurrences, completed, steps }
}

function buildOccurrence (steps: readonly StepProgress[], state: JobState): z.input<typeof occurrenceSchema>[] {
  const [first] = steps
  if (first === undefined) return []
  const isFinal = isFinalState(state)
  const completeSteps = new IndexSet()
  const records: StepRecord[] = []
  for (const step of steps) {
    if (!step.isComplete() || step.hasRuns()) addRecord(step)
    else if (!isFinal) completeSteps.add(step.key.step)
  }
  if (records.length + completeSteps.count() === 0) return []
  return [{ occurrence: first.key.occurrence, completeSteps: completeSteps.listRanges(), steps: records.map(buildStep) }]

  function addRecord (step: StepProgress): void {
    const record = buildStepRecord(step, state)
    if (record !== undefined) records.push(record)
  }

  function buildStep ({ step, runs, failures, gangFailures, checkpoints }: StepRecord): z.input<typeof stepSchema> {
    const doneRanges = steps[step]?.readDone().listRanges() ?? []
    return {
      step,
      ...(doneRanges.length > 0 ? { done: doneRanges } : {}),
      ...(runs.length > 0 ? { runs } : {}),
      ...(failures.length > 0 ? { failures } : {}),
      ...(gangFailures > 0 ? { gangFailures } : {}),
      ...(checkpoints.length > 0 ? { checkpoints } : {})
    }
  }
}
