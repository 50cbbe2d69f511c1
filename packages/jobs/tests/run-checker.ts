import type { Job } from '../src/job.js'
import { parseTaskName } from '../src/task-run.js'
import type { RunHistory, RunRecord } from './run-history.js'

/** A job of a scenario, and what its caller was told. */
export interface SubmittedJob {
  readonly job: Job
  outcome: string | undefined
  cancelRequestedAtMs: number | undefined
  cancelledAtMs: number | undefined
}

/** A broken guarantee, as the targets and the callers saw it. */
export interface FoundViolation {
  readonly kind: 'doubleRun' | 'lateDoubleRun' | 'startAfterDone' | 'lateStartAfterDone' | 'startAfterCancel' | 'overCapacity' | 'notCompleted'
  readonly detail: string
}

/** No task of a cancelled job starts later than this after its cancellation was stored. */
const CANCEL_BOUND_MS = 5_000

/** Compares what the targets saw with the guarantees for runs. */
export function findRunViolations (history: RunHistory, jobs: ReadonlyMap<string, SubmittedJob>): FoundViolation[] {
  const byTask = new Map<string, RunRecord[]>()
  for (const record of history.runs) byTask.set(record.taskName, [...byTask.get(record.taskName) ?? [], record])
  return [
    ...[...byTask.values()].flatMap((runs) => [...findDoubleRuns(runs), ...findStartsAfterDone(runs)]),
    ...findStartsAfterCancel(history, jobs),
    ...history.overloads.map((detail) => ({ kind: 'overCapacity' as const, detail }))
  ]
}

function findDoubleRuns (runs: readonly RunRecord[]): FoundViolation[] {
  return runs.flatMap((later, index) => runs.slice(0, index).flatMap((earlier): FoundViolation[] => {
    if ((earlier.endedAtMs ?? Number.POSITIVE_INFINITY) <= later.startedAtMs) return []
    const kind = earlier.isLate || later.isLate ? 'lateDoubleRun' : 'doubleRun'
    return [{ kind, detail: `${formatRecord(later)} starts during ${formatRecord(earlier)}` }]
  }))
}

function findStartsAfterDone (runs: readonly RunRecord[]): FoundViolation[] {
  return runs.flatMap((later) => runs.flatMap((earlier): FoundViolation[] => {
    if (earlier.outcome !== 'done' || earlier.acknowledgedAtMs === undefined || (earlier.endedAtMs ?? 0) > later.startedAtMs) return []
    if (earlier === later) return []
    const kind = later.isLate ? 'lateStartAfterDone' : 'startAfterDone'
    return [{ kind, detail: `${formatRecord(later)} starts after ${formatRecord(earlier)}` }]
  }))
}

function findStartsAfterCancel (history: RunHistory, jobs: ReadonlyMap<string, SubmittedJob>): FoundViolation[] {
  return history.runs.flatMap((record): FoundViolation[] => {
    const cancelledAtMs = jobs.get(parseTaskName(record.taskName)?.jobId ?? '')?.cancelledAtMs
    if (record.isLate || cancelledAtMs === undefined || record.startedAtMs <= cancelledAtMs + CANCEL_BOUND_MS) return []
    return [{ kind: 'startAfterCancel', detail: `${formatRecord(record)} starts after the cancelling at ${cancelledAtMs}` }]
  })
}

function formatRecord ({ taskName, run, targetId, isLate, startedAtMs, endedAtMs, outcome, acknowledgedAtMs }: RunRecord): string {
  const times = [startedAtMs, endedAtMs, acknowledgedAtMs].map((timeMs) => timeMs === undefined ? '-' : Math.round(timeMs)).join('/')
  return `${taskName}#${run} on ${targetId}${isLate ? ' late' : ''} (start/end/acknowledged ${times}, ${outcome ?? 'running'})`
}
