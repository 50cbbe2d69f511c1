import type { Resources } from './job.js'

export const RUN_PHASES = {
  /** Room is reserved; the intent is not stored yet. */
  reserved: 'reserved',
  /** The order was sent and has no answer yet. */
  sent: 'sent',
  /** The order's answer was lost, or an earlier owner sent it: only the target knows. */
  unsettled: 'unsettled',
  running: 'running'
} as const
export type RunPhase = typeof RUN_PHASES[keyof typeof RUN_PHASES]

export const RUN_OUTCOMES = {
  done: 'done',
  /** The task failed, by its own fault or the target's. */
  failed: 'failed',
  stopped: 'stopped',
  /** The target's lease ran out, or the target is gone. */
  lapsed: 'lapsed',
  /** Another member of the gang ended. */
  broken: 'broken',
  /** The other members of the gang didn't come in time. */
  alone: 'alone',
  notStarted: 'notStarted'
} as const
export type RunOutcome = typeof RUN_OUTCOMES[keyof typeof RUN_OUTCOMES]

/** Which task a run belongs to. */
export interface TaskKey {
  readonly jobId: string
  readonly occurrence: number
  readonly step: number
  readonly index: number
}

/** One run of a task on a target. It holds its room until the target has listed its end, or it provably never starts. */
export interface TaskRun {
  readonly task: TaskKey
  /** Rises with each run of the task, also across owners. */
  readonly number: number
  readonly targetId: string
  readonly size: Resources
  phase: RunPhase
  /** Monotonic time at which the order was sent. */
  sentAtMs: number
  /** Monotonic time at which the run is expected to end. */
  expectedEndMs: number
  isStopWanted: boolean
  /** The target has answered the order to stop. */
  isStopAcknowledged: boolean
  percent: number
  percentChangedAtMs: number
}

/** Formats the name of a task, which is unique in the cell. */
export function formatTaskName (task: TaskKey): string {
  return `${task.jobId}.${task.occurrence}.${task.step}.${task.index}`
}

/** Formats the name of a step. */
export function formatStepName (task: Omit<TaskKey, 'index'>): string {
  return `${task.jobId}.${task.occurrence}.${task.step}`
}

const TASK_NAME_PATTERN = /^(.+)\.(\d+)\.(\d+)\.(\d+)$/

/** Reads the name of a task; undefined when it is not one. */
export function parseTaskName (name: string): TaskKey | undefined {
  const [, jobId, occurrence, step, index] = TASK_NAME_PATTERN.exec(name) ?? []
  if (jobId === undefined) return undefined
  return { jobId, occurrence: Number(occurrence), step: Number(step), index: Number(index) }
}

/** Key of a run on a target, from the owner's side. */
export function formatRunKey (run: TaskRun): string {
  return `${formatTaskName(run.task)}#${run.number}`
}

/** Key of a run on a target, from a row of its lists. */
export function formatReportedRunKey (row: { readonly taskName: string, readonly run: number }): string {
  return `${row.taskName}#${row.run}`
}
