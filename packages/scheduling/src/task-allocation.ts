import type { ResourceVector } from './resource-vector.js'
import type { WorkItem } from './work-item.js'

/** A task that holds capacity, as far as its target needs to know it. */
export interface TaskAllocation {
  readonly request: {
    readonly item: WorkItem
    readonly startedAtMs: number
  }
  /** Capacity that counts as used: in each dimension the larger of the allocated and the observed amount. */
  readonly charged: ResourceVector
}
