import type { AccountCharge } from './accounts/account-usage.js'
import type { JobStep, Resources } from './job.js'
import type { MessagePosition } from './message-order.js'

export const RUN_PHASES = {
  /** Capacity is reserved; the intent is not stored yet. */
  reserved: 'reserved',
  /** The start order was sent and has no answer yet. */
  sent: 'sent',
  /** The answer to the start order was lost, or an earlier owner sent the order. Only the target knows whether the run has started. */
  unsettled: 'unsettled',
  /**
   * The target's present incarnation surely doesn't start the run, but a later one may still carry the order out. The run reserves no
   * capacity, since a later incarnation gets no tasks before its first report, which lists the run.
   */
  delayed: 'delayed',
  running: 'running'
} as const
export type RunPhase = typeof RUN_PHASES[keyof typeof RUN_PHASES]

export const RUN_OUTCOMES = {
  done: 'done',
  /** The task failed, because of an error of its own or of the target. */
  failed: 'failed',
  stopped: 'stopped',
  /** The target's lease expired, or the target is gone. */
  lapsed: 'lapsed',
  /** Another task of the gang has ended. */
  broken: 'broken',
  /** The other tasks of the gang did not start in time. */
  alone: 'alone',
  notStarted: 'notStarted'
} as const
export type RunOutcome = typeof RUN_OUTCOMES[keyof typeof RUN_OUTCOMES]

/** What the end of a run was concluded from. */
export const RUN_END_BASES = {
  /** The target reported the end. */
  reported: 'reported',
  /** A report listed the run neither as running nor as ended. */
  unlisted: 'unlisted',
  /** A report came from a later incarnation of the target. */
  restarted: 'restarted',
  /** Every lease granted to the target has surely expired. */
  leaseExpired: 'leaseExpired',
  /** The target refused the start order. */
  refused: 'refused',
  /** The start order was never sent. */
  notSent: 'notSent'
} as const
export type RunEndBasis = typeof RUN_END_BASES[keyof typeof RUN_END_BASES]

/** The end of a run, as the owner concluded it. */
export interface RunEnd {
  readonly outcome: RunOutcome
  readonly basis: RunEndBasis
  /** The run's last checkpoint; undefined when it has left none. */
  readonly checkpoint?: string | undefined
}

/** Whether the run was counted as over although the target neither reported its end nor refused its start. */
export function isGivenUp ({ basis }: RunEnd): boolean {
  return basis === RUN_END_BASES.unlisted || basis === RUN_END_BASES.restarted || basis === RUN_END_BASES.leaseExpired
}

/** Identifies a task. */
export interface TaskKey {
  readonly jobId: string
  readonly occurrence: number
  readonly step: number
  readonly index: number
}

/** One run of a task on a target. Its capacity stays reserved until its end is known, its lease has expired, or it can't start any more. */
export interface TaskRun {
  readonly task: TaskKey
  /** Increases with each run of the task, also across owners. */
  readonly number: number
  readonly targetId: string
  /** Start of the target's incarnation for which the run was placed; undefined when an earlier owner placed it, or it isn't known. */
  readonly targetStartedAtMs?: number | undefined
  /** What the run reserves on its target. */
  readonly size: Resources
  /** What the run counts against a quota; undefined for a job without an account. */
  readonly charge?: AccountCharge | undefined
  phase: RunPhase
  /** Monotonic time at which the start order was sent; negative infinity when an earlier owner sent it. */
  sentAtMs: number
  /** Monotonic time at which the run is expected to end; infinite for one that runs until its job is cancelled. */
  expectedEndMs: number
  /** Position at which the owner learned that the run is on its target; undefined before. */
  confirmedAt: MessagePosition | undefined
  isStopWanted: boolean
  /** Position at which the target's present incarnation answered the stop order; undefined before. */
  stopAcknowledgedAt: MessagePosition | undefined
  percent: number
  percentChangedAtMs: number
}

/** Returns the time at which a task that starts now is expected to end on a target with this relative run time. */
export function computeExpectedEndMs ({ isLongRunning, estimatedMs }: JobStep, nowMs: number, relativeRunTime = 1): number {
  return isLongRunning ? Number.POSITIVE_INFINITY : nowMs + estimatedMs * relativeRunTime
}

/** Formats the name of a task, which is unique in the cell. */
export function formatTaskName (task: TaskKey): string {
  return `${task.jobId}.${task.occurrence}.${task.step}.${task.index}`
}

export function formatStepName (task: Omit<TaskKey, 'index'>): string {
  return `${task.jobId}.${task.occurrence}.${task.step}`
}

const TASK_NAME_PATTERN = /^(.+)\.(\d+)\.(\d+)\.(\d+)$/

/** Parses a task name; undefined when it is malformed. */
export function parseTaskName (name: string): TaskKey | undefined {
  const [, jobId, occurrence, step, index] = TASK_NAME_PATTERN.exec(name) ?? []
  if (jobId === undefined) return undefined
  return { jobId, occurrence: Number(occurrence), step: Number(step), index: Number(index) }
}

/** Formats the key of a run that the owner tracks. Equal to {@link formatReportedRunKey} for the same run. */
export function formatRunKey (run: TaskRun): string {
  return `${formatTaskName(run.task)}#${run.number}`
}

/** Formats the key of a run that a target reports. */
export function formatReportedRunKey (reported: { readonly taskName: string, readonly run: number }): string {
  return `${reported.taskName}#${reported.run}`
}
