import type { JobProgress } from './job-progress.js'
import { MAXIMUM_RUNS_PER_JOB } from './job.js'
import { listRuns, type StepProgress } from './step-progress.js'
import { formatStepName } from './task-run.js'

/** Returns the name of a step in one occurrence of its job, which is unique in the cell. */
export function readStepName (step: StepProgress): string {
  return formatStepName(step.key)
}

/** Lists the indexes of a step's pending tasks that the job's limit on runs leaves room for, up to a limit: all or none of a gang. */
export function listPlaceable (progress: JobProgress, step: StepProgress, limit = Number.POSITIVE_INFINITY): number[] {
  return step.listPending(Math.min(limit, countPlaceable(progress, step)))
}

/** Counts the tasks that {@link listPlaceable} returns without a limit. */
export function countPlaceable (progress: JobProgress, step: StepProgress): number {
  const pending = step.countPending()
  if (progress.countOpenTasks() <= MAXIMUM_RUNS_PER_JOB) return pending
  const room = Math.max(0, MAXIMUM_RUNS_PER_JOB - progress.countRuns())
  if (step.step.isGang && pending > room) return 0
  return Math.min(pending, room)
}

/** Counts the runs of a step on each target, if the step limits them. */
export function countByTarget (step: StepProgress): Map<string, number> {
  const counts = new Map<string, number>()
  if (step.step.maximumPerTarget === 0) return counts
  for (const task of step.listTasks()) for (const { targetId } of listRuns(task)) counts.set(targetId, (counts.get(targetId) ?? 0) + 1)
  return counts
}
