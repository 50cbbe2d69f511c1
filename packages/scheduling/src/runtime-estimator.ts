import type { KindProfiles } from './kind-profiles.js'
import type { TaskAllocation } from './task-allocation.js'
import type { WorkItem } from './work-item.js'

// An overdue task is expected to need this share of its age again.
const OVERRUN_FRACTION = 0.25

/** Estimates when work ends, at one moment. */
export class RuntimeEstimator {
  readonly #profiles: KindProfiles
  readonly nowMs: number

  constructor (profiles: KindProfiles, nowMs: number) {
    this.#profiles = profiles
    this.nowMs = nowMs
  }

  /** When the item would end if it started now; Infinity for services and unknown run times. */
  estimateEndOfItem (item: WorkItem): number {
    const runtimeMs = this.#estimateRuntimeMs(item)
    return runtimeMs === undefined ? Infinity : this.nowMs + runtimeMs
  }

  /** When a running task is expected to end; Infinity for services and unknown run times. */
  estimateEndOfTask (task: TaskAllocation): number {
    const { item, startedAtMs } = task.request
    const runtimeMs = this.#estimateRuntimeMs(item)
    if (runtimeMs === undefined) return Infinity
    return Math.max(startedAtMs + runtimeMs, this.nowMs + (this.nowMs - startedAtMs) * OVERRUN_FRACTION)
  }

  #estimateRuntimeMs (item: WorkItem): number | undefined {
    return item.isService ? undefined : this.#profiles.estimateRuntimeMs(item.kind, item.runtimeMs)
  }
}
