import type { JobProgress } from './job-progress.js'
import { MAXIMUM_RUNS_PER_JOB } from './job.js'
import { listRuns, type StepProgress, type TaskProgress } from './step-progress.js'
import { formatStepName } from './task-run.js'

/** Returns the name of a step in one occurrence of its job, which is unique in the cell. */
export function readStepName (step: StepProgress): string {
  const key = step.tasks[0]?.key
  return key === undefined ? '' : formatStepName(key)
}

/** Lists the pending tasks of a step that the job's limit on runs leaves room for: all or none of a gang. */
export function listPlaceable (progress: JobProgress, step: StepProgress): TaskProgress[] {
  const pending = step.listPending()
  if (progress.countOpenTasks() <= MAXIMUM_RUNS_PER_JOB) return pending
  const room = Math.max(0, MAXIMUM_RUNS_PER_JOB - progress.countRuns())
  return step.step.isGang && pending.length > room ? [] : pending.slice(0, room)
}

/** Counts the tasks that {@link listPlaceable} returns. */
export function countPlaceable (progress: JobProgress, step: StepProgress): number {
  return progress.countOpenTasks() <= MAXIMUM_RUNS_PER_JOB ? step.countPending() : listPlaceable(progress, step).length
}

/** Counts the runs of a step on each target, if the step limits them. */
export function countByTarget (step: StepProgress): Map<string, number> {
  const counts = new Map<string, number>()
  if (step.step.maximumPerTarget === 0) return counts
  for (const task of step.tasks) for (const { targetId } of listRuns(task)) counts.set(targetId, (counts.get(targetId) ?? 0) + 1)
  return counts
}
