import { z } from 'zod'
import { groupIndexes, listIndexes, type IndexRange } from './index-ranges.js'
import { isFinalState, type JobState } from './job.js'
import { listRuns, type StepProgress } from './step-progress.js'

/** Task index, run number and target of each run that may be on a target; the present run of a task comes after its stray ones. */
export const runsSchema = z.array(z.tuple([z.number(), z.number(), z.string()]))
/** Task index and number of failed runs. */
export const failuresSchema = z.array(z.tuple([z.number(), z.number()]))
/** Task index and last checkpoint. */
export const checkpointsSchema = z.array(z.tuple([z.number(), z.string()]))

/** A step in the plain form of a progress record. */
export const plainStepSchema = z.object({
  occurrence: z.number().int().nonnegative(),
  step: z.number().int().nonnegative(),
  /** Indexes of the tasks that are done; true when all are. */
  done: z.union([z.literal(true), z.array(z.number())]),
  runs: runsSchema,
  failures: failuresSchema,
  gangFailures: z.number(),
  checkpoints: checkpointsSchema
})

type PlainStep = z.infer<typeof plainStepSchema>

/** Progress of one step in a job's progress record. */
export interface StepRecord extends Omit<PlainStep, 'done'> {
  /** Ranges of the tasks that are done; true when all are. A list of the tasks would be as long as the caller has chosen. */
  readonly done: true | readonly IndexRange[]
}

/** Builds the record of a step; undefined when there is nothing to store about it. */
export function buildStepRecord (progress: StepProgress, state: JobState): StepRecord | undefined {
  if (!progress.hasState()) return undefined
  const runs: StepRecord['runs'] = []
  const done = progress.readDone().listRanges()
  const failures: StepRecord['failures'] = []
  const checkpoints: StepRecord['checkpoints'] = []
  for (const task of [...progress.listTasks()].sort((left, right) => left.key.index - right.key.index)) {
    const { index } = task.key
    for (const run of listRuns(task)) runs.push([index, run.number, run.targetId])
    if (progress.isDone(index)) continue
    if (task.failures > 0) failures.push([index, task.failures])
    if (task.checkpoint !== '') checkpoints.push([index, task.checkpoint])
  }
  if (isFinalState(state) && runs.length === 0) return undefined
  if (done.length + runs.length + failures.length + checkpoints.length === 0) return undefined
  const { occurrence, step } = progress.key
  return { occurrence, step, done: progress.isComplete() ? true : done, runs, failures, gangFailures: progress.gangFailures, checkpoints }
}

/** Converts a record to the plain form, which lists each task. */
export function convertToPlainStep ({ done, ...rest }: StepRecord): PlainStep {
  return { ...rest, done: done === true ? true : [...listIndexes(done)] }
}

export function convertPlainStep ({ done, ...rest }: PlainStep): StepRecord {
  return { ...rest, done: done === true ? true : groupIndexes([...done].sort((left, right) => left - right)) }
}

/** Creates the record of a complete step without runs. */
export function createCompleteRecord (occurrence: number, step: number): StepRecord {
  return { occurrence, step, done: true, runs: [], failures: [], gangFailures: 0, checkpoints: [] }
}
