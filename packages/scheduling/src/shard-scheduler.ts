import type { RequestId, TargetId } from '@hibiscusledge/runtime/identifiers.js'
import type { Admission, Decision, RunResult } from './decision.js'
import type { PoolPolicy } from './pool-policy.js'
import type { Resources } from './resources.js'
import type { Target } from './target.js'
import type { Urgency } from './urgency.js'
import type { WorkItem } from './work-item.js'

/** What other instances need to choose between shards; carried in heartbeats. */
export interface PoolLoad {
  readonly pool: string
  readonly targetCount: number
  /** Free share of the pool's capacity in this shard, 0 to 1. */
  readonly freeShare: number
  readonly queued: Readonly<Record<Urgency, number>>
  readonly estimatedWaitMs: Readonly<Record<Urgency, number>>
}

/** Why a request still waits, for `hibiscusledgectl explain`. */
export interface WaitExplanation {
  readonly requestId: RequestId
  readonly pool: string
  readonly urgency: Urgency
  readonly position: number
  readonly estimatedWaitMs: number
  readonly reason: string
}

/** A start that an earlier owner recorded and whose capacity must count as used. */
export interface RecoveredStart {
  readonly item: WorkItem
  readonly targets: readonly TargetId[]
  readonly startedAtMs: number
}

/**
 * Decides what runs where on the targets of one shard. Pure: it holds state in memory, does no I/O and takes the time
 * with each call, in milliseconds on the owner's monotonic clock.
 */
export interface ShardScheduler {
  applyPools (pools: readonly PoolPolicy[], nowMs: number): void
  /**
   * Replaces the known targets. A target that is leaving gets no new work; one that is missing keeps its running work
   * until it is released.
   */
  applyTargets (targets: readonly Target[], nowMs: number): void
  /** Stops new work on a target at once, before the instance list shows it, until the list shows it live again after `untilMs`. */
  suspendTarget (targetId: TargetId, untilMs: number): void
  admit (item: WorkItem, nowMs: number): Admission
  /** Counts a start of an earlier owner as used capacity, whatever the limits say. */
  recoverStart (start: RecoveredStart): void
  /** Removes queued items. Returns the identifiers that were queued. */
  cancelQueued (requestIds: readonly RequestId[]): readonly RequestId[]
  /** Takes every queued item out, for a hand-over. */
  drainQueue (): readonly WorkItem[]
  /** Makes at most `maxDecisions` decisions. */
  schedule (nowMs: number, maxDecisions: number): readonly Decision[]
  /** Frees what one task of a request used. */
  releaseTask (requestId: RequestId, taskIndex: number, result: RunResult, nowMs: number): void
  /** Records observed use of a task, which may lag. */
  recordUsage (requestId: RequestId, taskIndex: number, usage: Resources, nowMs: number): void
  /** Records the monotonic progress counter that a target reported. */
  recordProgress (targetId: TargetId, progress: number, running: number, nowMs: number): void
  /** Whether the retry budgets allow one more attempt for this item's pool and customer. */
  claimRetry (item: WorkItem, nowMs: number): boolean
  reportLoads (nowMs: number): readonly PoolLoad[]
  explainWait (requestId: RequestId, nowMs: number): WaitExplanation | undefined
}
