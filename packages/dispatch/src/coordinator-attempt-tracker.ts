import { PEER_MESSAGE_KINDS } from '@hibiscusledge/peer/peer-message-kinds.js'
import type { UnitOwner } from '@hibiscusledge/peer/ownership-directory.js'
import type { InstanceId, UnitId } from '@hibiscusledge/runtime/identifiers.js'
import type { DispatchContext } from './dispatch-context.js'
import {
  withdrawReplySchema, type AttemptReport, type AttemptResultMessage, type RecordIntentMessage, type RecordIntentReply, type WithdrawReply
} from './dispatch-messages.js'
import type { CoordinatedRequest, RequestPlan } from './coordinated-request.js'
import type { LedgerEntry } from './ledger-entry.js'
import { sendValidatedRequest } from './validated-messages.js'
import type { OutcomeRecorder } from './outcome-recorder.js'
import { COMMIT_RESULTS, type PartitionLedger } from './partition-ledger.js'
import type { RequestAssigner } from './request-assigner.js'
import type { RequestOutcome } from './request-outcome.js'

const WITHDRAW_TIMEOUT_MS = 1000
const RETRY_DELAY_MS = 50
/** Limit of targets that the attempts of a request must avoid. The oldest are removed first. */
const EXCLUDED_TARGETS_MAX = 8

/** Tracks the attempts of a partition's requests: their intents, their results and changes of their shard owners. */
export class CoordinatorAttemptTracker {
  readonly #context: DispatchContext
  readonly #ledger: PartitionLedger
  readonly #outcomes: OutcomeRecorder
  readonly #assigner: RequestAssigner

  constructor (context: DispatchContext, ledger: PartitionLedger, outcomes: OutcomeRecorder, assigner: RequestAssigner) {
    this.#context = context
    this.#ledger = ledger
    this.#outcomes = outcomes
    this.#assigner = assigner
  }

  /** Records the intent of an attempt. Grants it only when the intent is durable and the attempt is still the current one. */
  async recordIntent (request: CoordinatedRequest, message: RecordIntentMessage): Promise<RecordIntentReply> {
    const { plan } = request
    const isExpected = request.isCurrentAttempt(message.attempt) && request.assignment?.unit === message.unit && plan !== undefined
    if (!isExpected || !request.applyEvent('recordIntent')) return { isGranted: false, reason: 'the attempt is no longer wanted' }
    const fence = { unit: message.unit, modRevision: message.ownerModRevision }
    const result = await this.#ledger.append(this.#buildIntent(request, plan, message), fence)
    const isStillCurrent = request.isCurrentAttempt(message.attempt) && request.state === 'recording'
    if (result === COMMIT_RESULTS.committed && isStillCurrent) {
      request.hasIntent = true
      request.applyEvent('grant')
      return { isGranted: true }
    }
    // A stalled entry may still be committed. The withdrawal that follows it in the ledger cancels it.
    if (result !== COMMIT_RESULTS.fenced) void this.#ledger.append(buildWithdrawal(request, message.attempt))
    if (isStillCurrent) this.#startNextAttempt(request, 0)
    return { isGranted: false, reason: result === COMMIT_RESULTS.committed ? 'the attempt is no longer wanted' : result }
  }

  /** Applies the report of an attempt. Returns whether the shard owner may discard the attempt. */
  async applyResult (request: CoordinatedRequest, message: AttemptResultMessage): Promise<boolean> {
    if (message.attempt !== request.attempt) return true
    const isRepeated = request.lastEndedAttempt === message.attempt && request.outcome === undefined
    if (isRepeated && message.report.type !== 'succeeded') return true
    if (request.outcome === undefined || request.outcome.outcome === 'unknown') this.#applyReport(request, message.report)
    if (request.outcome === undefined || !request.hasIntent) return true
    return await this.#outcomes.record(request)
  }

  /** Assigns the request again when its shard now has another owner or epoch than at the assignment. */
  async applyOwnerChange (request: CoordinatedRequest, unit: UnitId, owner: UnitOwner | undefined): Promise<void> {
    const { assignment, attempt } = request
    if (assignment?.unit !== unit || request.state !== 'assigned') return
    if (owner?.epoch === assignment.epoch && owner.instance === assignment.owner) return
    // Intents of the former owner are fenced from now on, so it can't send the attempt.
    if (request.plan?.isIntentNeeded === true) {
      this.#startNextAttempt(request, 0)
      return
    }
    const state = await this.withdraw(request, assignment.owner, false)
    if (!request.isCurrentAttempt(attempt) || request.state !== 'assigned') return
    // After a planned hand-over the former owner still tracks and reports the attempts that it has sent.
    if (state === 'sent') return
    if (state !== 'queued') request.mayHaveRun = true
    this.#startNextAttempt(request, 0)
  }

  /** Withdraws the current attempt from its shard owner. Returns undefined when the owner does not reply. */
  async withdraw (request: CoordinatedRequest, owner: InstanceId, isStopWanted: boolean): Promise<WithdrawReply['state'] | undefined> {
    if (request.assignment === undefined) return undefined
    const message = { unit: request.assignment.unit, requestId: request.requestId, attempt: request.attempt, isStopWanted }
    const reply = await sendValidatedRequest(
      this.#context.network, owner, PEER_MESSAGE_KINDS.withdraw, message, withdrawReplySchema, WITHDRAW_TIMEOUT_MS, request.trace
    )
    return reply.ok ? reply.val.state : undefined
  }

  #applyReport (request: CoordinatedRequest, report: AttemptReport): void {
    const { requestId } = request
    switch (report.type) {
      case 'succeeded':
        this.#outcomes.end(request, { requestId, outcome: 'completed', result: report.result })
        break
      case 'failed':
        this.#retryOrEnd(request, { requestId, outcome: 'completed', result: { error: report.message } }, undefined)
        break
      case 'notRun':
        this.#applyNotRun(request, report.message, report.target)
        break
      case 'expired':
        this.#outcomes.abort(request, 'deadlineExpired')
        break
      case 'checkpointed':
        request.checkpoint = report.checkpoint
        request.fallbackOutcome = { requestId, outcome: 'unknown', reason: 'ended at a checkpoint and was not resumed' }
        this.#withdrawIntent(request, true)
        this.#startNextAttempt(request, 0)
        break
      case 'lost':
        this.#retryOrEnd(request, { requestId, outcome: 'unknown', reason: report.message }, report.target)
        break
      case 'unknown':
        if (request.plan?.work.isExclusive === true) this.#outcomes.end(request, { requestId, outcome: 'unknown', reason: report.message })
        else {
          request.mayHaveRun = true
          this.#retryOrEnd(request, { requestId, outcome: 'unknown', reason: report.message }, report.target)
        }
        break
    }
  }

  /** Applies the report that the attempt did not run: starts the next attempt, or corrects an outcome reported as unknown. */
  #applyNotRun (request: CoordinatedRequest, message: string, target: string | undefined): void {
    if (request.outcome !== undefined) {
      this.#outcomes.abort(request, message)
      return
    }
    this.#addExcludedTarget(request, target)
    this.#withdrawIntent(request, false)
    this.#startNextAttempt(request, RETRY_DELAY_MS)
  }

  #retryOrEnd (request: CoordinatedRequest, fallback: RequestOutcome, failedTarget: string | undefined): void {
    const { plan } = request
    const isActive = !request.isCancelled && this.#context.clock.readMonotonicMs() < request.deadlineAtMs
    const isAllowed = plan !== undefined && plan.work.isIdempotent && request.retries < plan.retryLimit
    if (!isAllowed || !isActive || request.payload === undefined || request.outcome !== undefined) {
      this.#outcomes.end(request, fallback)
      return
    }
    request.retries++
    request.fallbackOutcome = fallback
    this.#addExcludedTarget(request, failedTarget)
    this.#withdrawIntent(request, true)
    this.#context.metrics.incrementCounter('requests.retried', 1, { kind: request.facts.kind })
    this.#startNextAttempt(request, RETRY_DELAY_MS)
  }

  #startNextAttempt (request: CoordinatedRequest, delayMs: number): void {
    if (!request.applyEvent('unassign')) return
    request.lastEndedAttempt = request.attempt
    request.assignment = undefined
    if (request.isCancelled) this.#outcomes.abort(request, 'cancelled')
    else this.#assigner.startAssigning(request, delayMs)
  }

  #withdrawIntent (request: CoordinatedRequest, hasRun: boolean): void {
    if (!request.hasIntent) return
    request.hasIntent = false
    // The record that an attempt ran stays in the ledger until the outcome of the request replaces it.
    request.hasLedgerEntry ||= hasRun
    void this.#ledger.append({ ...buildWithdrawal(request, request.attempt), ...(hasRun ? { hasRun } : {}) })
  }

  #addExcludedTarget (request: CoordinatedRequest, target: string | undefined): void {
    if (target === undefined) return
    request.excludedTargets.push(target as typeof request.excludedTargets[number])
    if (request.excludedTargets.length > EXCLUDED_TARGETS_MAX) request.excludedTargets.shift()
  }

  #buildIntent (request: CoordinatedRequest, plan: RequestPlan, message: RecordIntentMessage): LedgerEntry {
    const { clock } = this.#context
    const wallMs = clock.readWallMs()
    return {
      type: 'intent',
      facts: request.facts,
      work: plan.work,
      attempt: message.attempt,
      unit: message.unit,
      epoch: message.epoch,
      targets: message.targets,
      deadlineWallMs: wallMs + request.deadlineAtMs - clock.readMonotonicMs(),
      recordedWallMs: wallMs
    }
  }
}

function buildWithdrawal (request: CoordinatedRequest, attempt: number): Extract<LedgerEntry, { type: 'withdrawn' }> {
  return { type: 'withdrawn', requestId: request.requestId, attempt }
}
