import type { RequestId, TargetId } from '@hibiscusledge/runtime/identifiers.js'
import type { Admission, Decision, RunResult } from './decision.js'
import type { PoolPolicy } from './pool-policy.js'
import type { Resources } from './resources.js'
import type { Target } from './target.js'
import type { Urgency } from './urgency.js'
import type { WorkItem } from './work-item.js'

/** Load of a pool in one shard, by which other instances choose between shards; sent in heartbeats. */
export interface PoolLoad {
  readonly pool: string
  readonly targetCount: number
  /** Free share of the pool's capacity in this shard, 0 to 1. */
  readonly freeShare: number
  readonly queued: Readonly<Record<Urgency, number>>
  readonly estimatedWaitMs: Readonly<Record<Urgency, number>>
}

/** Explains why a request is still queued, for `hibiscusledgectl explain`. */
export interface WaitExplanation {
  readonly requestId: RequestId
  readonly pool: string
  readonly urgency: Urgency
  /** Position among the queued items of the same class and team, from 1. */
  readonly position: number
  readonly estimatedWaitMs: number
  readonly reason: string
}

/** A start recorded by an earlier owner, whose capacity must be charged to its targets. */
export interface RecoveredStart {
  readonly item: WorkItem
  readonly targets: readonly TargetId[]
  readonly startedAtMs: number
}

/**
 * Decides which requests run on which targets of one shard. Its decisions depend only on the calls: it holds its state in
 * memory, does no I/O and takes the time with each call, in milliseconds on the owner's monotonic clock.
 */
export interface ShardScheduler {
  applyPools (pools: readonly PoolPolicy[], nowMs: number): void
  /**
   * Replaces the known targets. A target that is leaving gets no new work; one that is missing from the list stays charged for
   * its running work until that is released.
   */
  applyTargets (targets: readonly Target[], nowMs: number): void
  /**
   * Stops new work on a target immediately, before the instance list shows it as leaving. The suspension ends when the list
   * shows the target as live at or after `untilMs`.
   */
  suspendTarget (targetId: TargetId, untilMs: number): void
  admit (item: WorkItem, nowMs: number): Admission
  /** Charges the capacity of a start of an earlier owner, even if it exceeds limits or capacity. */
  recoverStart (start: RecoveredStart): void
  /** Removes queued items and returns the identifiers of those that were queued. */
  cancelQueued (requestIds: readonly RequestId[]): readonly RequestId[]
  /** Removes and returns all queued items in order of admission, for a hand-over. */
  drainQueue (): readonly WorkItem[]
  /** Runs one scheduling round, which returns at most `maxDecisions` decisions. */
  schedule (nowMs: number, maxDecisions: number): readonly Decision[]
  /** Frees the capacity of one task of a request and learns from its result. Ignored when the task holds none. */
  releaseTask (requestId: RequestId, taskIndex: number, result: RunResult, nowMs: number): void
  /** Records the observed resource usage of a task. Reports may be delayed. */
  recordUsage (requestId: RequestId, taskIndex: number, usage: Resources, nowMs: number): void
  /** Records a report of a target: its monotonic progress counter and how many requests it runs. */
  recordProgress (targetId: TargetId, progress: number, running: number, nowMs: number): void
  /** Takes one retry from the budgets of the item's pool and customer. Returns false when either is exhausted. */
  claimRetry (item: WorkItem, nowMs: number): boolean
  reportLoads (nowMs: number): readonly PoolLoad[]
  /** Explains the wait of a queued request; undefined when the request is not queued. */
  explainWait (requestId: RequestId, nowMs: number): WaitExplanation | undefined
}
