import type { RequestId, TargetId } from '@hibiscusledge/runtime/identifiers.js'
import type { Resources } from './resources.js'
import type { Urgency } from './urgency.js'

/** A request in the queue of a target shard. Times are on the monotonic clock of the shard's owner. */
export interface WorkItem {
  readonly requestId: RequestId
  readonly attempt: number
  readonly kind: string
  readonly customer: string
  readonly team: string
  readonly pool: string
  readonly urgency: Urgency
  /** Declared size of one task. Ignored for executors, where each request takes one slot. */
  readonly resources: Resources
  /** How many tasks must start together; 1 unless it is a gang. */
  readonly taskCount: number
  /** May run more than once and may move to another target after an unclear failure. */
  readonly isIdempotent: boolean
  /** Must never run in two places at once. */
  readonly isExclusive: boolean
  /** Can be checkpointed and resumed, so that it may be preempted. */
  readonly isResumable: boolean
  /** Runs until it is stopped; spread over racks. */
  readonly isService: boolean
  /** Declared run time; undefined when unknown. */
  readonly runtimeMs: number | undefined
  readonly enqueuedAtMs: number
  readonly deadlineAtMs: number
  /** Targets that must not be chosen, such as those that failed an earlier attempt. */
  readonly excludedTargets: readonly TargetId[]
}
