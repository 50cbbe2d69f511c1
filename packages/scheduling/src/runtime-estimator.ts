import type { KindProfiles } from './kind-profiles.js'
import type { TaskAllocation } from './task-allocation.js'
import type { WorkItem } from './work-item.js'

/** A task that overruns its estimate is expected to run for this fraction of its age longer. */
const OVERRUN_FRACTION = 0.25

/** Estimates when items and running tasks end, as of one time. */
export class RuntimeEstimator {
  readonly #profiles: KindProfiles
  readonly nowMs: number

  constructor (profiles: KindProfiles, nowMs: number) {
    this.#profiles = profiles
    this.nowMs = nowMs
  }

  /** Returns when the item would end if it started now; Infinity for services and unknown run times. */
  estimateEndOfItem (item: WorkItem): number {
    const runtimeMs = this.#estimateRuntimeMs(item)
    return runtimeMs === undefined ? Infinity : this.nowMs + runtimeMs
  }

  /** Returns when a running task is expected to end; Infinity for services and unknown run times. */
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
