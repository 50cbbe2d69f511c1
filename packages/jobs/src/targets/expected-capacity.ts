import { addResources, countSlots, subtractResources } from '../capacity-tracker.js'
import type { JobStep, Resources } from '../job.js'
import type { StepProgress } from '../step-progress.js'
import type { RunView, TargetView } from '../target-view.js'
import { countByTarget } from '../waiting-tasks.js'

/** The tasks of the users are estimated at up to 5.3 s, and their estimates are off by a factor of nearly two. */
const MINIMUM_WAIT_BOUND_MS = 10_000
/** A step waits at most this multiple of its own estimate for a run to end; waiting longer costs more than it saves. */
const ESTIMATE_FACTOR = 2
/** Share of the processor capacity that is free in a pool that is mostly idle. */
const IDLE_SHARE = 0.5
const NO_TASKS: ReadonlyMap<string, number> = new Map()

/** Returns how far ahead the expected end of a run may be for a step to count on its capacity. */
export function computeWaitBoundMs ({ isLongRunning, estimatedMs }: JobStep): number {
  return isLongRunning ? MINIMUM_WAIT_BOUND_MS : Math.max(MINIMUM_WAIT_BOUND_MS, ESTIMATE_FACTOR * estimatedMs)
}

/** Whether a run can be counted on to end at all: it doesn't last, and it isn't overdue by more than the bound. */
export function isExpectedToEnd ({ expectedEndMs, overdueMs = 0 }: RunView, boundMs: number): boolean {
  return expectedEndMs !== Number.POSITIVE_INFINITY && overdueMs <= boundMs
}

/** Returns what a target could give to waiting work if it ran only the tasks that last. */
export function computeLastingFree ({ capacity, runs }: TargetView): Resources {
  let free = capacity
  for (const run of runs) if (run.expectedEndMs === Number.POSITIVE_INFINITY) free = subtractResources(free, run.size)
  return free
}

/** Capacity of a target as far as it is the same for all steps. */
interface TargetSummary {
  readonly lastingFree: Resources
  /** Latest expected end of a run that doesn't last. */
  readonly latestEndMs: number
  readonly longestOverdueMs: number
}

/**
 * The capacity that the usable targets are expected to offer: free now, or given back by runs whose estimates say that they end
 * within the bound of the step that waits. A run that lasts, or is overdue by more than the bound, gives nothing back. Every
 * choice to wait for something better is based on this, so that nothing waits for capacity that never becomes free.
 */
export class ExpectedCapacity {
  readonly #nowMs: number
  readonly #targets: ReadonlyMap<string, TargetView>
  readonly #summaries = new Map<string, TargetSummary>()

  constructor (nowMs: number, targets: ReadonlyMap<string, TargetView>) {
    this.#nowMs = nowMs
    this.#targets = targets
  }

  /** Returns how many tasks of a step a target is expected to hold, whether it has the step's label or not; 0 for an unusable target. */
  countSlots (targetId: string, step: JobStep): number {
    const target = this.#targets.get(targetId)
    return target === undefined ? 0 : Math.max(0, countSlots(this.#computeExpected(target, computeWaitBoundMs(step)), step))
  }

  /** Whether the targets, without the excluded ones, are expected to hold one more task of a step, or its whole gang. */
  hasSlots (progress: StepProgress, targetIds: readonly string[], excluded: ReadonlySet<string>): boolean {
    const { step } = progress
    const needed = step.isGang ? step.taskCount : 1
    // Tasks that last never make room for others of their step.
    const present = step.isLongRunning ? countByTarget(progress) : NO_TASKS
    let slots = 0
    for (const id of targetIds) {
      const target = this.#targets.get(id)
      if (target === undefined || excluded.has(id)) continue
      if (step.requiredLabel !== undefined && !target.labels.includes(step.requiredLabel)) continue
      const expected = this.countSlots(id, step)
      slots += step.maximumPerTarget > 0 ? Math.max(0, Math.min(expected, step.maximumPerTarget - (present.get(id) ?? 0))) : expected
      if (slots >= needed) return true
    }
    return false
  }

  /** Whether most of the processor capacity of a service's usable targets is free now. */
  isMostlyIdle (service: string): boolean {
    let excessMillis = 0
    for (const target of this.#targets.values()) {
      if (target.service === service) excessMillis += target.free.cpuMillis - target.capacity.cpuMillis * IDLE_SHARE
    }
    return excessMillis > 0
  }

  #computeExpected (target: TargetView, boundMs: number): Resources {
    const { lastingFree, latestEndMs, longestOverdueMs } = this.#readSummary(target)
    // Saves a look at each run in the usual case of runs that are short and in time.
    if (latestEndMs - this.#nowMs <= boundMs && longestOverdueMs <= boundMs) return lastingFree
    let expected = target.free
    for (const run of target.runs) {
      if (isExpectedToEnd(run, boundMs) && run.expectedEndMs - this.#nowMs <= boundMs) expected = addResources(expected, run.size)
    }
    return expected
  }

  #readSummary (target: TargetView): TargetSummary {
    let summary = this.#summaries.get(target.id)
    if (summary === undefined) {
      let latestEndMs = Number.NEGATIVE_INFINITY
      let longestOverdueMs = 0
      for (const { expectedEndMs, overdueMs = 0 } of target.runs) {
        if (expectedEndMs !== Number.POSITIVE_INFINITY && expectedEndMs > latestEndMs) latestEndMs = expectedEndMs
        if (overdueMs > longestOverdueMs) longestOverdueMs = overdueMs
      }
      summary = { lastingFree: computeLastingFree(target), latestEndMs, longestOverdueMs }
      this.#summaries.set(target.id, summary)
    }
    return summary
  }
}
