import { computeItemShare, findInfeasibility } from './feasibility-check.js'
import { type ResourceVector, convertDemand } from './resource-vector.js'
import { type Admission, REJECTION_REASONS, type RejectionReason } from './decision.js'
import { computeDemand, ONE_SLOT } from './item-demand.js'
import type { PoolState } from './pool-state.js'
import type { SchedulerContext } from './scheduler-context.js'
import type { Urgency } from './urgency.js'
import { estimateWaitMs, type WaitQuery } from './wait-estimator.js'
import { ADMISSION_MESSAGES } from './scheduler-messages.js'
import type { WorkItem } from './work-item.js'

/**
 * Fractions of `maxQueuedPerPool` up to which items of each urgency class are admitted. They are lower for less urgent classes, so
 * that a flood of those leaves queue capacity for the others.
 */
const QUEUE_LIMIT_SHARES: Readonly<Record<Urgency, number>> = { urgent: 1, high: 0.8, normal: 0.6, low: 0.4 }
const MIN_RETRY_AFTER_MS = 100

function reject (reason: RejectionReason, detail: string, retryAfterMs?: number): Admission {
  return { isAdmitted: false, reason, detail, retryAfterMs }
}

/** Decides which items may enter the queue of their pool, and inserts those. */
export class AdmissionControl {
  readonly #context: SchedulerContext

  constructor (context: SchedulerContext) {
    this.#context = context
  }

  admit (item: WorkItem, nowMs: number): Admission {
    const { accounting, pools, queue, settings } = this.#context
    const pool = pools.get(item.pool)
    if (pool?.policy === undefined) return reject(REJECTION_REASONS.unknownPool, ADMISSION_MESSAGES.unknownPool(item.pool))
    if (accounting.has(item.requestId)) return reject(REJECTION_REASONS.duplicate, ADMISSION_MESSAGES.duplicate)
    if (item.deadlineAtMs <= nowMs) return reject(REJECTION_REASONS.deadlineExpired, ADMISSION_MESSAGES.deadlineExpired)
    const queued = queue.find(item.requestId)
    if (queued !== undefined && queued.item.attempt >= item.attempt) {
      return { isAdmitted: true, estimatedWaitMs: estimateWaitMs(pool, this.buildWaitQuery(pool, item)) }
    }
    if (pool.targets.length === 0) return reject(REJECTION_REASONS.noTargets, ADMISSION_MESSAGES.noTargets(item.pool))
    const impossibility = findInfeasibility(pool, item, pool.isExecutorPool ? ONE_SLOT : convertDemand(item.resources))
    if (impossibility !== undefined) return reject(REJECTION_REASONS.impossible, impossibility)

    const query = this.buildWaitQuery(pool, item)
    const estimatedWaitMs = estimateWaitMs(pool, query)
    const limitMs = Math.min(pool.readClassPolicy(item.urgency).maxQueueMs, item.deadlineAtMs - nowMs)
    if (estimatedWaitMs > limitMs) {
      return reject(REJECTION_REASONS.estimatedWaitTooLong, ADMISSION_MESSAGES.waitTooLong(estimatedWaitMs, limitMs),
        Math.max(MIN_RETRY_AFTER_MS, Math.round(estimatedWaitMs - limitMs)))
    }
    const maxQueued = Math.floor(settings.maxQueuedPerPool * QUEUE_LIMIT_SHARES[item.urgency])
    if (pool.queuedCount >= maxQueued) {
      const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.round(estimatedWaitMs))
      return reject(REJECTION_REASONS.queueFull, ADMISSION_MESSAGES.queueFull(maxQueued), retryAfterMs)
    }
    if (queued !== undefined) queue.remove(pool, queued)
    queue.insert(pool, item, query.share)
    return { isAdmitted: true, estimatedWaitMs }
  }

  computeDemand (pool: PoolState, item: WorkItem): ResourceVector {
    return computeDemand(pool, this.#context.profiles, item)
  }

  buildWaitQuery (pool: PoolState, item: WorkItem): WaitQuery {
    const { profiles, settings } = this.#context
    const share = computeItemShare(pool, this.computeDemand(pool, item), item.taskCount)
    const runtimeMs = profiles.estimateRuntimeMs(item.kind, item.runtimeMs) ?? settings.defaultRuntimeMs
    return { urgency: item.urgency, team: item.team, share, assumedShareSeconds: share * runtimeMs / 1_000 }
  }
}
