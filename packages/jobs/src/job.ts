/** Runs that one job may have at a time. The job's progress record has an entry for each, and the store limits its length. */
export const MAXIMUM_RUNS_PER_JOB = 3_000

/** Amounts of a target's resources: what a task requires, or what a target has in all or free. */
export interface Resources {
  readonly cpuMillis: number
  readonly memoryMb: number
  readonly accelerators: number
}

/** A set of identical tasks within a job. */
export interface JobStep {
  readonly taskCount: number
  readonly size: Resources
  /** The caller's estimate of one task's run time. */
  readonly estimatedMs: number
  /** Indexes of earlier steps that must be complete first. */
  readonly after: readonly number[]
  readonly isCheckpointing: boolean
  /** Whether the tasks run only together and end together. */
  readonly isGang: boolean
  readonly prefersOneRack: boolean
  readonly requiredLabel?: string | undefined
  /** Rack that holds the step's data. Tasks run slower in other racks. */
  readonly dataRack?: string | undefined
  /** Maximum number of the step's tasks on one target; 0 for no limit. */
  readonly maximumPerTarget: number
  readonly allowsCopies: boolean
  /** Whether the tasks run until the job is cancelled and are restarted whenever they end. */
  readonly isLongRunning: boolean
  /** Whether the tasks use only processor time that others leave idle. They don't count against a target's processor capacity. */
  readonly usesIdleCapacity: boolean
}

/** Times at which a job repeats all of its steps. */
export interface JobSchedule {
  readonly occurrences: number
  /** Unix milliseconds of the first occurrence. */
  readonly firstDueMs: number
  /** Duration from one occurrence to the next. */
  readonly intervalMs: number
}

/** How long the policy service takes to answer, and how long its tickets are valid. */
export interface AdvicePolicy {
  /** Duration of a call without the part that depends on the number of targets. */
  readonly decisionMs: number
  /** Additional duration for each target that the request names. */
  readonly perTargetMs: number
  readonly validityMs: number
}

/** What the operators have configured for the jobs of a queue. A job keeps the policy that its queue had when it was accepted. */
export interface QueuePolicy {
  readonly queue: string
  readonly service: string
  readonly priority: number
  /** The job fails when one of its tasks or gangs has failed this many times. */
  readonly maximumAttempts: number
  /** The objective is this factor times the critical path, plus `targetDurationMs`. */
  readonly stretch: number
  readonly targetDurationMs: number
  readonly advice?: AdvicePolicy | undefined
}

/** A job as accepted and stored. */
export interface Job {
  readonly id: string
  readonly terms: QueuePolicy
  /** Name of the client account that submitted the job; undefined where callers aren't authenticated. */
  readonly account?: string | undefined
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

/** Whether a job in this state gets no further runs. */
export function isFinalState (state: JobState): boolean {
  return state === JOB_STATES.completed || state === JOB_STATES.failed || state === JOB_STATES.cancelled
}

/** Computes the run time of the critical path through the steps from the caller's estimates. */
export function computeCriticalPathMs (steps: readonly JobStep[]): number {
  const endTimesMs: number[] = []
  let pathMs = 0
  for (const step of steps) {
    let startMs = 0
    for (const earlier of step.after) startMs = Math.max(startMs, endTimesMs[earlier] ?? 0)
    const endMs = startMs + Math.max(0, step.estimatedMs)
    endTimesMs.push(endMs)
    pathMs = Math.max(pathMs, endMs)
  }
  return pathMs
}
