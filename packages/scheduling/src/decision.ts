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

/** Result of admission control. */
export type Admission =
  | { readonly isAdmitted: true, readonly estimatedWaitMs: number }
  | { readonly isAdmitted: false, readonly reason: RejectionReason, readonly detail: string, readonly retryAfterMs: number | undefined }

/** Starts the tasks of an item; `targets[i]` runs task i. The capacity is already allocated. */
export interface StartDecision {
  readonly type: 'start'
  readonly item: WorkItem
  readonly targets: readonly TargetId[]
  /** Whether the start probes a quarantined target. */
  readonly isProbe: boolean
}

/** Reports that an item left the queue because its deadline passed before it was started. */
export interface ExpireDecision {
  readonly type: 'expire'
  readonly item: WorkItem
}

/** Frees capacity for `preemptor` by checkpointing or throttling a running request. */
export interface PreemptDecision {
  readonly type: 'preempt'
  readonly requestId: RequestId
  readonly action: 'checkpoint' | 'throttle'
  readonly preemptor: RequestId
}

export type Decision = StartDecision | ExpireDecision | PreemptDecision

/** Results of a run. `withdrawn` means that the start was taken back before it was sent, so it says nothing about the target. */
export const RUN_RESULTS = { succeeded: 'succeeded', failed: 'failed', refused: 'refused', lost: 'lost', withdrawn: 'withdrawn' } as const
export type RunResult = typeof RUN_RESULTS[keyof typeof RUN_RESULTS]
