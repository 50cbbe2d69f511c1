import type { RequestId, TargetId } from '@hibiscusledge/runtime/identifiers.js'
import type { WorkItem } from './work-item.js'

export const REJECTION_REASONS = {
  queueFull: 'queueFull',
  estimatedWaitTooLong: 'estimatedWaitTooLong',
  impossible: 'impossible',
  unknownPool: 'unknownPool',
  noTargets: 'noTargets',
  deadlineExpired: 'deadlineExpired',
  retryBudgetExhausted: 'retryBudgetExhausted',
  /** An earlier attempt of the request still holds capacity in this shard. */
  duplicate: 'duplicate'
} as const
export type RejectionReason = typeof REJECTION_REASONS[keyof typeof REJECTION_REASONS]

/** Answer of admission. */
export type Admission =
  | { readonly isAdmitted: true, readonly estimatedWaitMs: number }
  | { readonly isAdmitted: false, readonly reason: RejectionReason, readonly detail: string, readonly retryAfterMs: number | undefined }

/** Start these tasks; `targets[i]` runs task i. The capacity is already reserved. */
export interface StartDecision {
  readonly type: 'start'
  readonly item: WorkItem
  readonly targets: readonly TargetId[]
  /** True when the target is quarantined and this start probes it. */
  readonly isProbe: boolean
}

/** The item left the queue because its deadline passed; it was never started. */
export interface ExpireDecision {
  readonly type: 'expire'
  readonly item: WorkItem
}

/** Make room by acting on a running task. */
export interface PreemptDecision {
  readonly type: 'preempt'
  readonly requestId: RequestId
  readonly action: 'checkpoint' | 'throttle'
  readonly preemptor: RequestId
}

export type Decision = StartDecision | ExpireDecision | PreemptDecision

/** `withdrawn`: the start was taken back before it was sent and says nothing about the target. */
export const RUN_RESULTS = { succeeded: 'succeeded', failed: 'failed', refused: 'refused', lost: 'lost', withdrawn: 'withdrawn' } as const
export type RunResult = typeof RUN_RESULTS[keyof typeof RUN_RESULTS]
