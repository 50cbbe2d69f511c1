import type { Resources } from './job.js'

/** A run on a target, as far as placement needs it. */
export interface RunView {
  readonly size: Resources
  /** Monotonic time at which it is expected to end. */
  readonly expectedEndMs: number
}

/** A target that may get work in this round. */
export interface TargetView {
  readonly id: string
  readonly service: string
  readonly rack: string | undefined
  readonly labels: readonly string[]
  readonly capacity: Resources
  readonly free: Resources
  readonly runs: readonly RunView[]
}
