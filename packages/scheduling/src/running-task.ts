import type { Amounts } from './amounts.js'
import type { HeldTask } from './held-task.js'
import type { TargetState } from './target-state.js'
import type { WorkItem } from './work-item.js'

/** A request that holds capacity. */
export interface RunningRequest {
  readonly item: WorkItem
  readonly startedAtMs: number
  /** By task index; undefined once the task is released. */
  readonly tasks: Array<RunningTask | undefined>
  remaining: number
}

/** One task of a request on its target. */
export interface RunningTask extends HeldTask {
  readonly request: RunningRequest
  readonly taskIndex: number
  readonly state: TargetState
  /** What the start reserved. */
  readonly given: Amounts
  counted: Amounts
  isProbe: boolean
  isPreempted: boolean
}
