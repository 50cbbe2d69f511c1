/** What one task takes of a target. */
export interface Resources {
  readonly cpuMillis: number
  readonly memoryMb: number
  readonly accelerators: number
}

/** A set of equal tasks within a job. */
export interface JobStep {
  readonly taskCount: number
  readonly size: Resources
  /** The caller's rough estimate of one task's run time. */
  readonly estimatedMs: number
  /** Indexes of earlier steps that must be complete first. */
  readonly after: readonly number[]
  readonly isCheckpointing: boolean
  /** The tasks work only together and end together. */
  readonly isGang: boolean
  readonly prefersOneRack: boolean
  readonly requiredLabel?: string | undefined
  /** Rack that holds the data; tasks run slower elsewhere. */
  readonly dataRack?: string | undefined
  /** At most this many tasks of the step on one target; 0 for no limit. */
  readonly maximumPerTarget: number
  readonly allowsCopies: boolean
  /** The tasks run until the job is cancelled and are restarted however they end. */
  readonly isLongRunning: boolean
  /** The tasks use the capacity that others leave idle and don't count against a target's processors. */
  readonly usesIdleCapacity: boolean
}

/** Times at which a job repeats its steps. */
export interface JobSchedule {
  readonly occurrences: number
  /** Unix milliseconds of the first occurrence. */
  readonly firstDueMs: number
  readonly intervalMs: number
}

/** How long the policy service takes to answer, and how long its answer holds. */
export interface AdvicePolicy {
  readonly decisionMs: number
  readonly perTargetMs: number
  readonly validityMs: number
}

/** The queue's terms when the job was accepted. */
export interface JobTerms {
  readonly queue: string
  readonly service: string
  readonly priority: number
  readonly maximumAttempts: number
  /** The objective is this factor times the longest chain of work, plus `targetDurationMs`. */
  readonly stretch: number
  readonly targetDurationMs: number
  readonly advice?: AdvicePolicy | undefined
}

/** A job as accepted and stored. */
export interface Job {
  readonly id: string
  readonly terms: JobTerms
  readonly specification: string
  readonly steps: readonly JobStep[]
  readonly schedule?: JobSchedule | undefined
  /** Unix milliseconds on the clock of the instance that accepted it. */
  readonly acceptedAtMs: number
}

export const JOB_STATES = {
  queued: 'queued',
  running: 'running',
  completed: 'completed',
  failed: 'failed',
  cancelled: 'cancelled'
} as const
export type JobState = typeof JOB_STATES[keyof typeof JOB_STATES]

/** Whether nothing of the job runs any more and its state is final. */
export function isFinalState (state: JobState): boolean {
  return state === JOB_STATES.completed || state === JOB_STATES.failed || state === JOB_STATES.cancelled
}

/** Run time of the longest chain of steps, from the callers' estimates. */
export function computeCriticalPathMs (steps: readonly JobStep[], readDoneMs: (index: number) => number = () => 0): number {
  const ends: number[] = []
  steps.forEach((step, index) => {
    const startMs = Math.max(0, ...step.after.map((earlier) => ends[earlier] ?? 0))
    ends.push(startMs + Math.max(0, step.estimatedMs - readDoneMs(index)))
  })
  return Math.max(0, ...ends)
}
