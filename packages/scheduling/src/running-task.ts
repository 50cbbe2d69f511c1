import type { ResourceVector } from './resource-vector.js'
import type { TaskAllocation } from './task-allocation.js'
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
export interface RunningTask extends TaskAllocation {
  readonly request: RunningRequest
  readonly taskIndex: number
  readonly targetState: TargetState
  /** What the start reserved. */
  readonly allocated: ResourceVector
  charged: ResourceVector
  isProbe: boolean
  isPreempted: boolean
}
