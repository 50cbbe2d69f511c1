import type { ResourceVector } from './resource-vector.js'
import type { WorkItem } from './work-item.js'

/** What is known of a task by the target that it holds capacity on. */
export interface TaskAllocation {
  readonly request: {
    readonly item: WorkItem
    readonly startedAtMs: number
  }
  /** What counts as used: the larger of what the start reserved and the observed use. */
  readonly charged: ResourceVector
}
