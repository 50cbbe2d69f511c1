import type { TaskSize } from './job.js'

/** A run on a target, as far as placement needs it. */
export interface RunView {
  readonly size: TaskSize
  /** Monotonic time at which it is expected to end. */
  readonly expectedEndMs: number
}

/** A target that may get work in this round. */
export interface TargetView {
  readonly id: string
  readonly service: string
  readonly rack: string | undefined
  readonly labels: readonly string[]
  readonly capacity: TaskSize
  readonly free: TaskSize
  readonly runs: readonly RunView[]
}
