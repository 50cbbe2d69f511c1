import type { Resources } from './resources.js'
import type { Urgency } from './urgency.js'

/** What the scheduler must know of a kind of work, as the routes table declares it. */
export interface WorkShape {
  readonly pool: string
  readonly urgency: Urgency
  /** Declared size of one task. Ignored on executors, where each task takes one slot. */
  readonly resources: Resources
  /** Number of tasks, which must start together; 1 unless the work is a gang. */
  readonly taskCount: number
  /** May run more than once, so it may move to another target after a failure that leaves open whether it ran. */
  readonly isIdempotent: boolean
  /** Must never run on two targets at the same time. */
  readonly isExclusive: boolean
  /** Can be checkpointed and resumed, so it may be preempted. */
  readonly isResumable: boolean
  /** Runs until it is stopped. Services of the same kind are spread over racks. */
  readonly isService: boolean
  /** Declared run time; undefined when unknown. */
  readonly runtimeMs: number | undefined
}
