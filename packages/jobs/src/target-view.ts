import type { Resources } from './job.js'

/** Snapshot of a run on a target, for placement. */
export interface RunView {
  readonly size: Resources
  /** Monotonic time at which the run is expected to end; infinite for one that runs until its job is cancelled. */
  readonly expectedEndMs: number
  /** Time by which the run has exceeded its estimate; 0 when it is missing. */
  readonly overdueMs?: number | undefined
}

/** Snapshot of a target that is usable in this round. */
export interface TargetView {
  readonly id: string
  readonly service: string
  readonly rack: string | undefined
  readonly labels: readonly string[]
  readonly capacity: Resources
  readonly free: Resources
  readonly runs: readonly RunView[]
  /** Runs whose start order wasn't sent yet or has no answer; 0 when it is missing. */
  readonly unconfirmedStarts?: number
  /** Expected run time relative to the median target of the service; 1 if left out. */
  readonly relativeRunTime?: number
}
