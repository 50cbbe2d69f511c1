import type { UnitOwner } from '@hibiscusledge/peer/ownership-directory.js'
import type { Timer } from '@hibiscusledge/runtime/clock.js'
import type { InstanceId, RequestId, UnitId } from '@hibiscusledge/runtime/identifiers.js'
import type { TraceContext } from '@hibiscusledge/runtime/trace-context.js'
import { CoordinatorAttemptTracker } from './coordinator-attempt-tracker.js'
import type { DispatchContext } from './dispatch-context.js'
import type {
  AttemptResultMessage, RecordIntentMessage, RecordIntentReply, RequestStatusReply, SubmitMessage, SubmitReply
} from './dispatch-messages.js'
import { CoordinatedRequest } from './coordinated-request.js'
import { OutcomeRecorder } from './outcome-recorder.js'
import { COMMIT_RESULTS, PartitionLedger } from './partition-ledger.js'
import { RequestAssigner } from './request-assigner.js'
import { recoverRequest } from './recover-request.js'
import { buildPlan } from './request-plan.js'
import { RequestRegistry } from './request-registry.js'

const SWEEP_PERIOD_MS = 250
/** How long after its deadline a request waits for a report from the shard owner before the coordinator decides its outcome. */
const DEADLINE_GRACE_MS = 1500
/** Limit of requests in progress per partition. New ones are refused above it, which bounds memory use. */
const ACTIVE_REQUESTS_MAX = 20_000

/** Coordinates the requests of one ledger partition. It alone decides their state and outcomes. */
export class PartitionCoordinator {
  readonly #context: DispatchContext
  readonly #partition: UnitId
  readonly #requests: RequestRegistry
  readonly #ledger: PartitionLedger
  readonly #outcomes: OutcomeRecorder
  readonly #assigner: RequestAssigner
  readonly #attemptTracker: CoordinatorAttemptTracker
  readonly #sweepTimer: Timer
  #isLoaded = false
  #isServing = false

  constructor (context: DispatchContext, partition: UnitId, owner: UnitOwner, onOwnershipLost: () => void) {
    this.#context = context
    this.#partition = partition
    this.#requests = new RequestRegistry(context.outcomeRetentionMs)
    this.#ledger = new PartitionLedger({
      partition,
      ownerModRevision: owner.modRevision,
      store: context.store,
      clock: context.clock,
      random: context.random,
      logger: context.logger,
      metrics: context.metrics,
      retentionMs: context.outcomeRetentionMs,
      onOwnershipLost
    })
    this.#outcomes = new OutcomeRecorder(context, this.#ledger)
    this.#assigner = new RequestAssigner(context, this.#ledger, this.#outcomes, owner.epoch)
    this.#attemptTracker = new CoordinatorAttemptTracker(context, this.#ledger, this.#outcomes, this.#assigner)
    this.#sweepTimer = context.clock.startInterval(SWEEP_PERIOD_MS, () => { this.#expireRequests() })
  }

  /** Loads the ledger, recovers the requests of earlier owners and starts serving. */
  async start (): Promise<void> {
    await this.#ledger.load()
    for (const [requestId, record] of this.#ledger.state.listRecords()) {
      const request = recoverRequest(this.#context, requestId, record)
      this.#requests.add(request)
      this.#assigner.startAssigning(request)
    }
    this.#isLoaded = true
    this.#isServing = true
  }

  /** Refuses new messages and waits for the pending commits. */
  async prepareHandOver (): Promise<void> {
    this.#isServing = false
    await this.#ledger.flush()
  }

  /** Serves again after a hand-over that did not take place. */
  resume (): void {
    this.#isServing = this.#isLoaded
  }

  stop (): void {
    this.#isServing = false
    this.#sweepTimer.cancel()
    this.#ledger.close()
  }

  async submit (message: SubmitMessage, from: InstanceId, trace: TraceContext | undefined): Promise<SubmitReply> {
    if (!this.#isServing) return { type: 'notOwner' }
    const existing = this.#requests.find(message.facts.requestId)
    if (existing !== undefined) return await this.#joinRequest(existing, message, from)
    if (this.#requests.countActive() >= ACTIVE_REQUESTS_MAX) return { type: 'unavailable', reason: 'too many requests in progress' }
    if (!message.isWaiting && this.#ledger.isStalled()) return { type: 'unavailable', reason: 'the store does not record requests now' }
    const request = this.#createRequest(message, trace)
    if (request.plan === undefined) {
      this.#outcomes.abort(request, 'noRoute')
      return this.#buildSubmitReply(request, message)
    }
    return await this.#beginRequest(request, message, from)
  }

  lookup (requestId: RequestId): RequestStatusReply {
    if (!this.#isServing) return { type: 'notOwner' }
    const request = this.#requests.find(requestId)
    if (request === undefined) return { type: 'absent' }
    return request.outcome === undefined ? { type: 'pending', requestId } : { type: 'outcome', outcome: request.outcome }
  }

  /** Cancels a request. Replies `notRun` only once that outcome is durable, so that the next coordinator does not run the request. */
  async cancel (requestId: RequestId): Promise<RequestStatusReply> {
    if (!this.#isServing) return { type: 'notOwner' }
    const request = this.#requests.find(requestId)
    if (request === undefined) return { type: 'absent' }
    if (request.outcome === undefined) await this.#withdrawForCancel(request)
    if (request.outcome?.outcome === 'notRun' && request.isCancelled && !await this.#outcomes.record(request)) {
      return { type: 'unavailable', reason: 'the cancellation is not recorded yet' }
    }
    return this.lookup(requestId)
  }

  async recordIntent (message: RecordIntentMessage): Promise<RecordIntentReply> {
    const request = this.#isServing ? this.#requests.find(message.requestId) : undefined
    if (request === undefined) return { isGranted: false, reason: 'the request is not known here' }
    const { clock } = this.#context
    const receivedAtMs = clock.readMonotonicMs()
    const reply = await this.#attemptTracker.recordIntent(request, message)
    return { ...reply, heldMs: clock.readMonotonicMs() - receivedAtMs }
  }

  /** Applies the report of an attempt. Returns whether the shard owner may discard the attempt. */
  async applyResult (message: AttemptResultMessage): Promise<boolean> {
    if (!this.#isServing) return false
    const request = this.#requests.find(message.requestId)
    if (request === undefined) return true
    return await this.#attemptTracker.applyResult(request, message)
  }

  applyOwnerChange (unit: UnitId, owner: UnitOwner | undefined): void {
    for (const request of this.#requests.listActive()) void this.#attemptTracker.applyOwnerChange(request, unit, owner)
  }

  findAssignment (requestId: RequestId): { readonly unit: UnitId, readonly owner: InstanceId } | undefined {
    return this.#requests.find(requestId)?.assignment
  }

  countActive (): number {
    return this.#requests.countActive()
  }

  #createRequest (message: SubmitMessage, trace: TraceContext | undefined): CoordinatedRequest {
    const nowMs = this.#context.clock.readMonotonicMs()
    const request = new CoordinatedRequest(message.facts, nowMs + message.remainingMs)
    request.receivedAtMs = nowMs
    request.span = this.#context.spans.startSpan('home.request', trace, { requestId: request.requestId, kind: message.facts.kind })
    request.trace = request.span.context
    request.addSubmissionId(message.submission)
    request.plan = buildPlan(this.#context.tables, message.facts)
    // An earlier coordinator may have started the request. The ledger shows this only for requests that need an intent.
    request.mayHaveRun = message.mayBeKnown === true && request.plan?.isIntentNeeded !== true
    this.#requests.add(request)
    return request
  }

  async #beginRequest (request: CoordinatedRequest, message: SubmitMessage, from: InstanceId): Promise<SubmitReply> {
    if (message.isWaiting) request.waiters.add(from)
    if (message.isWaiting && !request.hasLedgerEntry) {
      this.#assigner.startAssigning(request)
      return { type: 'pending' }
    }
    // If the request restarts, its earlier `notRun` in the ledger must be replaced before anything is sent.
    request.isAssigning = true
    const isRecorded = await this.#recordAccepted(request, message)
    request.isAssigning = false
    if (message.isWaiting && !isRecorded) this.#outcomes.abort(request, 'the store does not record requests now')
    this.#assigner.startAssigning(request)
    if (message.isWaiting) return this.#buildSubmitReply(request, message)
    // The entry may still be committed, so the request goes on, and its outcome can be looked up later.
    if (!isRecorded) return { type: 'outcome', outcome: buildUnconfirmed(request.requestId) }
    return { type: 'accepted' }
  }

  async #recordAccepted (request: CoordinatedRequest, message: SubmitMessage): Promise<boolean> {
    if (this.#ledger.state.findRecord(request.requestId)?.accepted !== undefined) return true
    const deadlineWallMs = this.#context.clock.readWallMs() + message.remainingMs
    request.hasLedgerEntry = true
    return await this.#ledger.append({ type: 'accepted', facts: message.facts, deadlineWallMs }) === COMMIT_RESULTS.committed
  }

  async #joinRequest (request: CoordinatedRequest, message: SubmitMessage, from: InstanceId): Promise<SubmitReply> {
    if (request.facts.fingerprint !== message.facts.fingerprint) return { type: 'conflict' }
    const isRepeated = request.addSubmissionId(message.submission)
    // A request that did not run may be submitted again under the same key, unless it was cancelled.
    if (request.outcome?.outcome === 'notRun' && !request.isCancelled && !isRepeated) {
      if (!message.isWaiting && this.#ledger.isStalled()) return { type: 'unavailable', reason: 'the store does not record requests now' }
      this.#restartRequest(request, message)
      return await this.#beginRequest(request, message, from)
    }
    if (request.outcome !== undefined) return this.#buildSubmitReply(request, message)
    request.payload ??= { value: message.facts.payload }
    if (message.isWaiting) request.waiters.add(from)
    else if (!await this.#recordAccepted(request, message)) return { type: 'outcome', outcome: buildUnconfirmed(request.requestId) }
    this.#assigner.startAssigning(request)
    return { type: message.isWaiting ? 'pending' : 'accepted' }
  }

  #restartRequest (request: CoordinatedRequest, message: SubmitMessage): void {
    request.applyEvent('restart')
    request.outcome = undefined
    request.fallbackOutcome = undefined
    request.retries = 0
    request.payload = { value: message.facts.payload }
    request.plan = buildPlan(this.#context.tables, message.facts)
    request.receivedAtMs = this.#context.clock.readMonotonicMs()
    request.deadlineAtMs = request.receivedAtMs + message.remainingMs
    this.#requests.add(request)
  }

  #buildSubmitReply (request: CoordinatedRequest, message: SubmitMessage): SubmitReply {
    if (request.outcome !== undefined) return { type: 'outcome', outcome: request.outcome }
    return { type: message.isWaiting ? 'pending' : 'accepted' }
  }

  async #withdrawForCancel (request: CoordinatedRequest): Promise<void> {
    request.isCancelled = true
    const { assignment, attempt } = request
    const isSendable = request.state === 'granted' || (request.state === 'assigned' && request.plan?.isIntentNeeded !== true)
    if (!isSendable || assignment === undefined) {
      this.#outcomes.abort(request, 'cancelled')
      return
    }
    const state = await this.#attemptTracker.withdraw(request, assignment.owner, true)
    if (state === 'queued' && request.isCurrentAttempt(attempt)) this.#outcomes.abort(request, 'cancelled')
  }

  /** Ends requests that are past their deadline, and removes outcomes after their retention period. */
  #expireRequests (): void {
    if (!this.#isServing) return
    const nowMs = this.#context.clock.readMonotonicMs()
    this.#requests.pruneEnded(nowMs)
    for (const request of this.#requests.listActive()) {
      if (request.outcome === undefined && nowMs > request.deadlineAtMs + DEADLINE_GRACE_MS) this.#endOverdue(request)
    }
  }

  #endOverdue (request: CoordinatedRequest): void {
    const { requestId, assignment, attempt } = request
    if (request.state === 'granted') {
      // The deadline of a service applies to its start only.
      if (request.plan?.work.isService === true) return
      this.#outcomes.end(request, { requestId, outcome: 'unknown', reason: 'no answer by the deadline' })
    } else if (request.state === 'assigned' && request.plan?.isIntentNeeded !== true && assignment !== undefined) {
      void this.#attemptTracker.withdraw(request, assignment.owner, false).then((state) => {
        if (!request.isCurrentAttempt(attempt)) return
        if (state !== 'queued') request.mayHaveRun = true
        this.#outcomes.abort(request, 'deadlineExpired')
      })
    } else {
      this.#outcomes.abort(request, 'deadlineExpired')
    }
  }
}

function buildUnconfirmed (requestId: RequestId): { requestId: RequestId, outcome: 'unknown', reason: string } {
  return { requestId, outcome: 'unknown', reason: 'the store has not confirmed the record in time' }
}
