import type { ResourceVector } from './resource-vector.js'
import type { TaskAllocation } from './task-allocation.js'
import type { TargetState } from './target-state.js'
import type { WorkItem } from './work-item.js'

/** A request that holds capacity. */
export interface RunningRequest {
  readonly item: WorkItem
  readonly startedAtMs: number
  /** Indexed by task; undefined once the task is released. */
  readonly tasks: Array<RunningTask | undefined>
  remaining: number
}

/** One running task of a request. */
export interface RunningTask extends TaskAllocation {
  readonly request: RunningRequest
  readonly taskIndex: number
  readonly targetState: TargetState
  /** Capacity allocated at the start. */
  readonly allocated: ResourceVector
  charged: ResourceVector
  isProbe: boolean
  isPreempted: boolean
}
