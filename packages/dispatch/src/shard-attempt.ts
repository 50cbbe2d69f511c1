import type { TraceContext } from '@hibiscusledge/runtime/trace-context.js'
import type { RequestId, TargetId } from '@hibiscusledge/runtime/identifiers.js'
import type { RunResult } from '@hibiscusledge/scheduling/decision.js'
import type { WorkItem } from '@hibiscusledge/scheduling/work-item.js'
import type { AttemptReport, EnqueueMessage } from './dispatch-messages.js'
import type { WorkSpec } from './ledger-entry.js'
import type { RunOrder, RunReport } from './target-client.js'

export const ATTEMPT_STATES = { queued: 'queued', recording: 'recording', sent: 'sent' } as const
export type AttemptState = typeof ATTEMPT_STATES[keyof typeof ATTEMPT_STATES]

/** State of one attempt at its shard owner. */
export interface ShardAttempt {
  readonly requestId: RequestId
  readonly attempt: number
  readonly item: WorkItem
  readonly work: WorkSpec
  readonly payload: unknown
  readonly checkpoint: string | undefined
  readonly isIntentNeeded: boolean
  readonly trace: TraceContext | undefined
  state: AttemptState
  targets: readonly TargetId[]
  /** The coordinator withdrew the attempt while its intent was being recorded. */
  isWithdrawn: boolean
}

/** The input of `buildWorkItem`. */
export interface WorkItemSource {
  readonly requestId: RequestId
  /** Number of earlier attempts that may have run. */
  readonly retries: number
  readonly kind: string
  readonly customer: string
  readonly team: string
  readonly work: WorkSpec
  readonly excludedTargets: readonly TargetId[]
}

export function buildWorkItem (source: WorkItemSource, enqueuedAtMs: number, deadlineAtMs: number): WorkItem {
  const { work, requestId, retries, kind, customer, team, excludedTargets } = source
  return {
    requestId,
    attempt: retries + 1,
    kind,
    customer,
    team,
    excludedTargets,
    pool: work.pool,
    urgency: work.urgency,
    resources: work.resources,
    taskCount: work.taskCount,
    isIdempotent: work.isIdempotent,
    isExclusive: work.isExclusive,
    isResumable: work.isResumable,
    isService: work.isService,
    runtimeMs: work.runtimeMs,
    enqueuedAtMs,
    deadlineAtMs
  }
}

/** Creates a queued attempt. */
export function createAttempt (message: EnqueueMessage, item: WorkItem, trace: TraceContext | undefined): ShardAttempt {
  const { attempt, work, payload, checkpoint, isIntentNeeded } = message
  return {
    requestId: item.requestId,
    attempt,
    item,
    work,
    payload,
    checkpoint,
    isIntentNeeded,
    trace,
    state: ATTEMPT_STATES.queued,
    targets: [],
    isWithdrawn: false
  }
}

export function buildOrder (attempt: ShardAttempt, taskIndex: number, timeoutMs: number): RunOrder {
  return {
    requestId: attempt.requestId,
    attempt: attempt.attempt,
    taskIndex,
    kind: attempt.item.kind,
    isIdempotent: attempt.item.isIdempotent,
    resources: attempt.item.resources,
    payload: attempt.payload,
    checkpoint: attempt.checkpoint,
    timeoutMs,
    trace: attempt.trace
  }
}

/** Converts the report of a task to the result that the scheduler records. */
export function convertToRunResult (report: RunReport): RunResult {
  switch (report.type) {
    case 'succeeded':
      return 'succeeded'
    // A checkpoint is no failure of the target, and its run time is not that of a whole run.
    case 'checkpointed':
      return 'refused'
    case 'failed':
      return 'failed'
    case 'notRun':
      return report.isLeaving ? 'refused' : 'failed'
    case 'lost':
    case 'unknown':
      return 'lost'
    case 'detached':
      return 'withdrawn'
  }
}

/** Merges the reports of an attempt's tasks into that of the attempt. Returns undefined when another owner reports it. */
export function mergeReports (reports: readonly RunReport[], targets: readonly TargetId[]): AttemptReport | undefined {
  if (reports.some((report) => report.type === 'detached')) return undefined
  const findReport = <Type extends RunReport['type']>(type: Type): { report: Extract<RunReport, { type: Type }>, target: TargetId } | undefined => {
    const index = reports.findIndex((report) => report.type === type)
    const target = targets[index]
    return target === undefined ? undefined : { report: reports[index] as Extract<RunReport, { type: Type }>, target }
  }
  const unknown = findReport('unknown')
  if (unknown !== undefined) return { type: 'unknown', message: unknown.report.message, target: unknown.target }
  const lost = findReport('lost')
  if (lost !== undefined) return { type: 'lost', message: lost.report.message, target: lost.target }
  const failed = findReport('failed')
  if (failed !== undefined) return { type: 'failed', message: failed.report.message }
  const notRun = findReport('notRun')
  if (notRun !== undefined) return mergeNotRun(reports, notRun.report.message, notRun.target)
  const checkpointed = findReport('checkpointed')
  if (checkpointed !== undefined) return { type: 'checkpointed', checkpoint: checkpointed.report.checkpoint }
  const results = reports.map((report) => report.type === 'succeeded' ? report.result : null)
  return { type: 'succeeded', result: results.length === 1 ? results[0] : { tasks: results } }
}

/** Merges reports of which at least one is `notRun`. If any other task of the gang may have run, the gang is lost. */
function mergeNotRun (reports: readonly RunReport[], message: string, target: TargetId): AttemptReport {
  const isEveryTaskNotRun = reports.every((report) => report.type === 'notRun')
  return isEveryTaskNotRun ? { type: 'notRun', message, target } : { type: 'lost', message: `a task of the gang was not run: ${message}`, target }
}
