import { PEER_ERROR_CODES } from '@hibiscusledge/peer/peer-network.js'
import { PEER_MESSAGE_KINDS } from '@hibiscusledge/peer/peer-message-kinds.js'
import type { UnitId } from '@hibiscusledge/runtime/identifiers.js'
import { REJECTION_REASONS } from '@hibiscusledge/scheduling/decision.js'
import type { DispatchContext } from './dispatch-context.js'
import { enqueueReplySchema, type EnqueueMessage } from './dispatch-messages.js'
import type { Assignment, CoordinatedRequest, RequestPlan } from './coordinated-request.js'
import { sendValidatedRequest } from './validated-messages.js'
import type { OutcomeRecorder } from './outcome-recorder.js'
import type { PartitionLedger } from './partition-ledger.js'
import { buildPlan } from './request-plan.js'
import { ShardChooser } from './shard-chooser.js'

const ENQUEUE_TIMEOUT_MS = 1000
/** Delay before the next assignment when no shard has accepted the request or the ledger is stalled. */
const REASSIGN_DELAY_MS = 100
/** How long to retry a pool without targets: instance lists and tables may not have reached the shard owners yet. */
const EMPTY_POOL_GRACE_MS = 3000
/**
 * Size of the range of attempt numbers of one coordinator epoch. Separate ranges distinguish the attempts of a coordinator
 * from those of its predecessor, which may still be queued at a shard.
 */
export const ATTEMPTS_PER_EPOCH = 100_000

interface Rejection {
  readonly reason: string
  readonly detail: string
  readonly retryAfterMs: number | undefined
}

type EnqueueResult = { readonly type: 'settled' | 'skipped' } | { readonly type: 'rejected', readonly rejection: Rejection }

/** Assigns requests to shards. */
export class RequestAssigner {
  readonly #context: DispatchContext
  readonly #ledger: PartitionLedger
  readonly #outcomes: OutcomeRecorder
  readonly #chooser: ShardChooser
  #nextAttempt: number

  constructor (context: DispatchContext, ledger: PartitionLedger, outcomes: OutcomeRecorder, epoch: number) {
    this.#context = context
    this.#ledger = ledger
    this.#outcomes = outcomes
    this.#chooser = new ShardChooser(context.ownership, context.loads, context.random)
    this.#nextAttempt = epoch * ATTEMPTS_PER_EPOCH
  }

  /** Starts to assign a request. Does nothing when the request is not unassigned or an assignment is in progress. */
  startAssigning (request: CoordinatedRequest, delayMs = 0): void {
    if (request.isAssigning || request.state !== 'unassigned') return
    request.isAssigning = true
    if (delayMs === 0) void this.#assign(request)
    else this.#context.clock.startTimer(delayMs, () => { void this.#assign(request) })
  }

  async #assign (request: CoordinatedRequest): Promise<void> {
    request.isAssigning = false
    if (request.state !== 'unassigned') return
    if (this.#context.clock.readMonotonicMs() >= request.deadlineAtMs) {
      this.#outcomes.abort(request, REJECTION_REASONS.deadlineExpired)
      return
    }
    // A request that was recovered before the first tables arrived has no plan yet.
    request.plan ??= buildPlan(this.#context.tables, request.facts)
    const { plan, payload } = request
    // A request that needs an intent waits here, without reserved capacity, while the ledger is stalled.
    const isWaiting = plan === undefined || payload === undefined || (plan.isIntentNeeded && this.#ledger.isStalled())
    if (isWaiting) this.startAssigning(request, REASSIGN_DELAY_MS)
    else await this.#enqueueAtBestShard(request, plan, payload.value)
  }

  async #enqueueAtBestShard (request: CoordinatedRequest, plan: RequestPlan, payload: unknown): Promise<void> {
    request.isAssigning = true
    const rejections: Rejection[] = []
    const { work, targetKind } = plan
    for (const unit of this.#chooser.rankShards(work.pool, targetKind, work.urgency)) {
      const result = await this.#enqueueAtShard(request, plan, payload, unit)
      if (result.type === 'settled') {
        request.isAssigning = false
        // The attempt may have ended or been withdrawn before the reply arrived, and no other caller assigns the request meanwhile.
        this.startAssigning(request, REASSIGN_DELAY_MS)
        return
      }
      if (result.type === 'rejected') rejections.push(result.rejection)
    }
    request.isAssigning = false
    if (rejections.length === 0 || this.#isTransient(request, rejections)) this.startAssigning(request, REASSIGN_DELAY_MS)
    else this.#endRejected(request, rejections)
  }

  async #enqueueAtShard (request: CoordinatedRequest, plan: RequestPlan, payload: unknown, unit: UnitId): Promise<EnqueueResult> {
    const owner = this.#context.ownership.findOwner(unit)
    if (owner === undefined || !request.applyEvent('assign')) return { type: request.state === 'unassigned' ? 'skipped' : 'settled' }
    const attempt = ++this.#nextAttempt
    request.attempt = attempt
    request.assignment = { unit, epoch: owner.epoch, owner: owner.instance }
    const message = this.#buildMessage(request, plan, payload, request.assignment)
    const reply = await sendValidatedRequest(
      this.#context.network, owner.instance, PEER_MESSAGE_KINDS.enqueue, message, enqueueReplySchema, ENQUEUE_TIMEOUT_MS, request.trace
    )
    if (!request.isCurrentAttempt(attempt) || request.state !== 'assigned') return { type: 'settled' }
    if (reply.ok && reply.val.type === 'admitted') return { type: 'settled' }
    request.applyEvent('unassign')
    request.assignment = undefined
    if (!reply.ok) {
      // The message may have arrived, so an attempt without an intent may be sent.
      if (reply.val.code !== PEER_ERROR_CODES.notConnected && !plan.isIntentNeeded) request.mayHaveRun = true
      return { type: 'skipped' }
    }
    if (reply.val.type !== 'rejected') return { type: 'skipped' }
    const { reason, detail, retryAfterMs } = reply.val
    return { type: 'rejected', rejection: { reason, detail, retryAfterMs } }
  }

  #buildMessage (request: CoordinatedRequest, plan: RequestPlan, payload: unknown, { unit, epoch }: Assignment): EnqueueMessage {
    return {
      unit,
      epoch,
      requestId: request.requestId,
      attempt: request.attempt,
      kind: request.facts.kind,
      customer: request.facts.customer,
      team: request.facts.team,
      work: plan.work,
      payload,
      remainingMs: request.deadlineAtMs - this.#context.clock.readMonotonicMs(),
      isIntentNeeded: plan.isIntentNeeded,
      retries: request.retries,
      checkpoint: request.checkpoint,
      excludedTargets: request.excludedTargets
    }
  }

  /** Whether a later assignment may succeed. */
  #isTransient (request: CoordinatedRequest, rejections: readonly Rejection[]): boolean {
    // The earlier attempt will end or be withdrawn, for example after its coordinator has failed while it recorded the intent.
    if (rejections.some(({ reason }) => reason === REJECTION_REASONS.duplicate)) return true
    const isEmpty = rejections.every(({ reason }) => reason === REJECTION_REASONS.noTargets || reason === REJECTION_REASONS.unknownPool)
    return isEmpty && this.#context.clock.readMonotonicMs() - request.receivedAtMs < EMPTY_POOL_GRACE_MS
  }

  #endRejected (request: CoordinatedRequest, rejections: readonly Rejection[]): void {
    if (request.state !== 'unassigned') return
    const retryable = rejections.filter((rejection) => rejection.reason !== REJECTION_REASONS.impossible)
    const rejection = retryable[0] ?? rejections[0]
    const delays = retryable.flatMap(({ retryAfterMs }) => retryAfterMs === undefined ? [] : [retryAfterMs])
    const retryAfterMs = delays.length === 0 ? undefined : Math.min(...delays)
    this.#outcomes.abort(request, `${rejection?.reason ?? 'rejected'}: ${rejection?.detail ?? ''}`, retryAfterMs)
  }
}
