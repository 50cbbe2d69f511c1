import { PEER_ERROR_CODES, type PeerError } from '@hibiscusledge/peer/peer-network.js'
import { PEER_MESSAGE_KINDS } from '@hibiscusledge/peer/peer-message-kinds.js'
import type { Finding } from '@hibiscusledge/runtime/finding.js'
import type { InstanceId, RequestId, UnitId } from '@hibiscusledge/runtime/identifiers.js'
import type { WaitExplanation } from '@hibiscusledge/scheduling/shard-scheduler.js'
import { findRoute } from '@hibiscusledge/tables/find-route.js'
import type { Route } from '@hibiscusledge/tables/route.js'
import type { Result } from '@hibiscusledge/runtime/result.js'
import type { DispatchContext } from './dispatch-context.js'
import { DISPATCH_MESSAGE_KINDS, explanationReplySchema, outcomeSchema, requestStatusSchema, type RequestStatusReply } from './dispatch-messages.js'
import { listPartitions } from './coordinator-role.js'
import { registerValidatedHandler, sendValidatedRequest } from './validated-messages.js'
import { PendingRequest } from './pending-request.js'
import type { RequestGateway, RequestStatus, Submission, SubmissionAnswer } from './request-gateway.js'
import { buildKeyedRequestId, computeFingerprint, drawRequestId, findPartition } from './request-id.js'
import type { RequestOutcome } from './request-outcome.js'

const QUERY_TIMEOUT_MS = 1500
/** How long to retry queries while a partition changes its owner. */
const QUERY_RETRY_TIMEOUT_MS = 5000
const QUERY_RETRY_DELAY_MS = 100

/** Submits the requests of an entry instance's callers to their coordinators and waits for the outcomes. */
export class ClusterRequestGateway implements RequestGateway {
  readonly #context: DispatchContext
  readonly #pending = new Map<RequestId, Set<PendingRequest>>()

  constructor (context: DispatchContext) {
    this.#context = context
    registerValidatedHandler(context.network, context.logger, PEER_MESSAGE_KINDS.outcome, outcomeSchema, async ({ outcome }) => {
      this.#settle(outcome)
    })
    context.ownership.subscribe((unit) => { this.#startResubmitting(unit) })
  }

  async submit (submission: Submission, signal: AbortSignal): Promise<SubmissionAnswer> {
    const tables = this.#context.tables.readCurrent()
    const requestId = this.#createRequestId(submission)
    if (tables === undefined || requestId === undefined) {
      return buildNotRun(requestId ?? ('none' as RequestId), 'the instance has no tables yet')
    }
    const route = findRoute(tables, submission.kind, submission.customer, submission.team)
    const findings = checkSubmission(submission, route)
    if (route === undefined || findings.length > 0) return { type: 'invalid', findings }
    return await this.#runPending(requestId, submission, route, signal)
  }

  lookup (requestId: RequestId): Promise<RequestStatus> {
    return this.#fetchStatus(requestId, PEER_MESSAGE_KINDS.lookup)
  }

  async cancel (requestId: RequestId): Promise<RequestStatus> {
    const status = await this.#fetchStatus(requestId, PEER_MESSAGE_KINDS.cancel)
    if (status.type === 'outcome') this.#settle(status.outcome)
    return status
  }

  async explainWait (requestId: RequestId): Promise<WaitExplanation | undefined> {
    const coordinator = this.#findCoordinator(requestId)
    if (coordinator === undefined) return undefined
    const reply = await sendValidatedRequest(
      this.#context.network, coordinator, DISPATCH_MESSAGE_KINDS.explainRequest, { requestId }, explanationReplySchema, QUERY_TIMEOUT_MS
    )
    return reply.ok ? reply.val.explanation : undefined
  }

  countPending (): number {
    let count = 0
    for (const requests of this.#pending.values()) count += requests.size
    return count
  }

  async #runPending (requestId: RequestId, submission: Submission, route: Route, signal: AbortSignal): Promise<SubmissionAnswer> {
    const { clock, spans, metrics } = this.#context
    const span = spans.startSpan('entry.request', submission.trace, { requestId, kind: submission.kind })
    const startedAtMs = clock.readMonotonicMs()
    const pending = new PendingRequest({
      context: this.#context,
      facts: {
        requestId,
        fingerprint: computeFingerprint(submission.kind, submission.team, submission.payload),
        kind: submission.kind,
        customer: submission.customer,
        team: submission.team,
        payload: submission.payload
      },
      isKeyed: submission.idempotencyKey !== undefined,
      isWaiting: submission.isWaiting,
      deadlineAtMs: startedAtMs + Math.min(route.deadlineMs, submission.deadlineMs ?? route.deadlineMs),
      trace: span.context,
      findCoordinator: () => this.#findCoordinator(requestId)
    })
    const pendingSet = this.#pending.get(requestId) ?? new Set()
    this.#pending.set(requestId, pendingSet.add(pending))
    const cancelOnAbort = (): void => { void this.#cancelAbandoned(pending) }
    signal.addEventListener('abort', cancelOnAbort)
    const answer = await pending.waitForAnswer()
    signal.removeEventListener('abort', cancelOnAbort)
    pendingSet.delete(pending)
    if (pendingSet.size === 0) this.#pending.delete(requestId)
    span.end({ answer: answer.type })
    metrics.recordTiming('entry.request', clock.readMonotonicMs() - startedAtMs, { kind: submission.kind, answer: answer.type })
    return answer
  }

  /** Cancels a request without an idempotency key whose caller has disconnected, because nobody can query its outcome. */
  async #cancelAbandoned (pending: PendingRequest): Promise<void> {
    if (pending.isKeyed) return
    this.#context.metrics.incrementCounter('entry.abandoned')
    // A cancellation that arrives before the submit message would find no request.
    await pending.waitUntilDelivered()
    await this.cancel(pending.requestId)
  }

  #createRequestId (submission: Submission): RequestId | undefined {
    const { ownership, network, random } = this.#context
    const partitions = listPartitions(ownership)
    if (submission.idempotencyKey !== undefined) return buildKeyedRequestId(submission.customer, submission.idempotencyKey, partitions)
    // Partitions of this instance are preferred, as they save a network hop.
    const own = partitions.filter((unit) => ownership.findOwner(unit)?.instance === network.self.instance)
    return drawRequestId(own.length > 0 ? own : partitions, random)
  }

  #settle (outcome: RequestOutcome): void {
    for (const pending of this.#pending.get(outcome.requestId) ?? []) pending.settle({ type: 'outcome', outcome })
  }

  #startResubmitting (unit: UnitId): void {
    for (const [requestId, pendingSet] of this.#pending) {
      if (findPartition(requestId) === unit) for (const pending of pendingSet) pending.startSubmitting()
    }
  }

  async #fetchStatus (requestId: RequestId, kind: string): Promise<RequestStatus> {
    const { clock, network } = this.#context
    if (findPartition(requestId) === undefined) return { type: 'absent' }
    const untilMs = clock.readMonotonicMs() + QUERY_RETRY_TIMEOUT_MS
    let reason = 'the request has no home now'
    while (clock.readMonotonicMs() < untilMs) {
      const coordinator = this.#findCoordinator(requestId)
      if (coordinator !== undefined) {
        const reply = await sendValidatedRequest(network, coordinator, kind, { requestId }, requestStatusSchema, QUERY_TIMEOUT_MS)
        const status = this.#convertStatus(requestId, reply)
        if (status !== undefined) return status
        if (!reply.ok) reason = reply.val.message
      }
      await new Promise<void>((resolve) => { clock.startTimer(QUERY_RETRY_DELAY_MS, resolve) })
    }
    return { type: 'unavailable', reason }
  }

  #convertStatus (requestId: RequestId, reply: Result<RequestStatusReply, PeerError>): RequestStatus | undefined {
    if (!reply.ok) return reply.val.code === PEER_ERROR_CODES.handlerFailed ? { type: 'unavailable', reason: reply.val.message } : undefined
    if (reply.val.type === 'notOwner') return undefined
    // A caller still waits here, so the request will be submitted to its new coordinator.
    if (reply.val.type === 'absent' && this.#pending.has(requestId)) return { type: 'pending', requestId }
    return reply.val
  }

  #findCoordinator (requestId: RequestId): InstanceId | undefined {
    const partition = findPartition(requestId)
    return partition === undefined ? undefined : this.#context.ownership.findOwner(partition)?.instance
  }
}

function buildNotRun (requestId: RequestId, reason: string): SubmissionAnswer {
  return { type: 'outcome', outcome: { requestId, outcome: 'notRun', reason } }
}

function checkSubmission (submission: Submission, route: Route | undefined): Finding[] {
  if (route === undefined) {
    const { kind, customer, team } = submission
    return [{ code: 'noRoute', place: 'body.kind', message: `no route for kind "${kind}" of customer "${customer}" and team "${team}"` }]
  }
  if (!route.isIdempotent && submission.idempotencyKey === undefined) {
    const message = `kind "${route.kind}" is non-idempotent and needs the header`
    return [{ code: 'idempotencyKeyMissing', place: 'headers.idempotency-key', message }]
  }
  return []
}
