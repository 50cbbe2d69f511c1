import type { RequestId } from '@hibiscusledge/runtime/identifiers.js'
import type { TraceContext } from '@hibiscusledge/runtime/trace-context.js'
import { REJECTION_REASONS } from '@hibiscusledge/scheduling/decision.js'
import type { ShardScheduler } from '@hibiscusledge/scheduling/shard-scheduler.js'
import type { DispatchContext } from './dispatch-context.js'
import type { EnqueueMessage, EnqueueReply, WithdrawMessage, WithdrawReply } from './dispatch-messages.js'
import type { EndedAttempts } from './ended-attempts.js'
import { ATTEMPT_STATES, buildWorkItem, createAttempt, type ShardAttempt } from './shard-attempt.js'

export interface AttemptAdmissionOptions {
  readonly context: DispatchContext
  readonly scheduler: ShardScheduler
  /** Attempts of the shard, shared with its runner. */
  readonly attempts: Map<RequestId, ShardAttempt>
  readonly ended: EndedAttempts
  readonly requestStop: (attempt: ShardAttempt) => void
  readonly onAdmitted: () => void
}

/** Admits attempts to the queue of a shard, and withdraws them from it. */
export class AttemptAdmission {
  readonly #context: DispatchContext
  readonly #scheduler: ShardScheduler
  readonly #attempts: Map<RequestId, ShardAttempt>
  readonly #ended: EndedAttempts
  readonly #requestStop: (attempt: ShardAttempt) => void
  readonly #onAdmitted: () => void

  constructor (options: AttemptAdmissionOptions) {
    this.#context = options.context
    this.#scheduler = options.scheduler
    this.#attempts = options.attempts
    this.#ended = options.ended
    this.#requestStop = options.requestStop
    this.#onAdmitted = options.onAdmitted
  }

  /** Queues an attempt, or returns why it is rejected. An attempt that is already known is not queued again. */
  enqueue (message: EnqueueMessage, trace: TraceContext | undefined): EnqueueReply {
    const existing = this.#attempts.get(message.requestId)
    const known = Math.max(existing?.attempt ?? 0, this.#ended.find(message.requestId)?.attempt ?? 0)
    if (known === message.attempt) return { type: 'admitted' }
    if (known > message.attempt) {
      return { type: 'rejected', reason: REJECTION_REASONS.duplicate, detail: 'a later attempt of the request is known here' }
    }
    if (existing !== undefined && existing.state !== ATTEMPT_STATES.queued) {
      return { type: 'rejected', reason: REJECTION_REASONS.duplicate, detail: 'an earlier attempt still runs here' }
    }
    if (existing !== undefined) this.#removeQueued(existing)
    return this.#admit(message, trace)
  }

  /** Withdraws an attempt that has not been sent. Stops one that has been sent if the message asks for that. */
  withdraw (message: WithdrawMessage): WithdrawReply['state'] {
    const attempt = this.#attempts.get(message.requestId)
    if (attempt === undefined || attempt.attempt !== message.attempt) return this.#handleUnknownAttempt(message)
    if (attempt.state === ATTEMPT_STATES.queued) {
      this.#removeQueued(attempt)
      return 'queued'
    }
    if (attempt.state === ATTEMPT_STATES.recording) {
      attempt.isWithdrawn = true
      return 'queued'
    }
    if (message.isStopWanted) this.#requestStop(attempt)
    return 'sent'
  }

  #admit (message: EnqueueMessage, trace: TraceContext | undefined): EnqueueReply {
    const nowMs = this.#context.clock.readMonotonicMs()
    const item = buildWorkItem(message, nowMs, nowMs + message.remainingMs)
    if (message.retries > 0 && !this.#scheduler.claimRetry(item, nowMs)) {
      return { type: 'rejected', reason: REJECTION_REASONS.retryBudgetExhausted, detail: `retry budget of pool ${item.pool}` }
    }
    const admission = this.#scheduler.admit(item, nowMs)
    if (!admission.isAdmitted) {
      const { reason, detail, retryAfterMs } = admission
      this.#context.metrics.incrementCounter('shard.rejected', 1, { reason, urgency: item.urgency })
      return { type: 'rejected', reason, detail, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) }
    }
    this.#attempts.set(item.requestId, createAttempt(message, item, trace))
    this.#onAdmitted()
    return { type: 'admitted' }
  }

  #removeQueued (attempt: ShardAttempt): void {
    this.#scheduler.cancelQueued([attempt.requestId])
    this.#attempts.delete(attempt.requestId)
    this.#ended.add(attempt.requestId, attempt.attempt, false)
  }

  /** Answers the withdrawal of an attempt that is not held here. Marks it as ended, so that a late enqueue message is refused. */
  #handleUnknownAttempt ({ requestId, attempt }: WithdrawMessage): WithdrawReply['state'] {
    const ended = this.#ended.find(requestId)
    if (ended?.attempt === attempt && !ended.mayHaveBeenSent) return 'queued'
    this.#ended.add(requestId, attempt, true)
    return 'absent'
  }
}
