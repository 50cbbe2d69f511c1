import type { RequestId, TargetId } from '@hibiscusledge/runtime/identifiers.js'
import type { WorkShape } from './work-shape.js'

/** A request as the scheduler of a target shard sees it. Times are on the monotonic clock of the shard's owner. */
export interface WorkItem extends WorkShape {
  readonly requestId: RequestId
  readonly attempt: number
  readonly kind: string
  readonly customer: string
  readonly team: string
  readonly enqueuedAtMs: number
  readonly deadlineAtMs: number
  /** Targets that must not be chosen, such as those that failed an earlier attempt. */
  readonly excludedTargets: readonly TargetId[]
}
