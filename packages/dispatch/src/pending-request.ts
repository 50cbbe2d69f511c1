import { PEER_ERROR_CODES } from '@hibiscusledge/peer/peer-network.js'
import { PEER_MESSAGE_KINDS } from '@hibiscusledge/peer/peer-message-kinds.js'
import type { Timer } from '@hibiscusledge/runtime/clock.js'
import type { InstanceId, RequestId } from '@hibiscusledge/runtime/identifiers.js'
import type { TraceContext } from '@hibiscusledge/runtime/trace-context.js'
import type { DispatchContext } from './dispatch-context.js'
import { requestStatusSchema, submitReplySchema, type SubmitMessage, type SubmitReply } from './dispatch-messages.js'
import type { RequestFacts } from './ledger-entry.js'
import { sendValidatedRequest } from './validated-messages.js'
import type { SubmissionAnswer } from './request-gateway.js'

const SUBMIT_TIMEOUT_MS = 2000
const RETRY_DELAY_MS = 100
const SUBMISSION_ID_BYTES = 8
/** The coordinator pushes the outcome. Polling finds it when that message was lost. */
const LOOKUP_PERIOD_MS = 1000
/** Longer than the grace period of the coordinator, which is to decide the outcome first. */
const DEADLINE_GRACE_MS = 4000

export interface PendingRequestOptions {
  readonly context: DispatchContext
  readonly facts: RequestFacts
  readonly isKeyed: boolean
  readonly isWaiting: boolean
  readonly deadlineAtMs: number
  readonly trace: TraceContext
  readonly findCoordinator: () => InstanceId | undefined
}

/** A request whose caller waits for an answer. Submits it to its coordinator, and again whenever the coordinator changes. */
export class PendingRequest {
  readonly #options: PendingRequestOptions
  readonly #answer: Promise<SubmissionAnswer>
  readonly #timers: Timer[] = []
  readonly #submissionId: string
  #resolve: (answer: SubmissionAnswer) => void = () => {}
  #isSettled = false
  #isDelivered = false
  #isSubmitting = false
  #isResubmitRequested = false
  /** A submit message may have reached a coordinator, so the entry instance can no longer answer `notRun` by itself. */
  #mayBeKnown = false

  constructor (options: PendingRequestOptions) {
    this.#options = options
    this.#submissionId = options.context.random.drawHex(SUBMISSION_ID_BYTES)
    this.#answer = new Promise((resolve) => { this.#resolve = resolve })
  }

  get requestId (): RequestId {
    return this.#options.facts.requestId
  }

  get isKeyed (): boolean {
    return this.#options.isKeyed
  }

  /** Waits until a coordinator has processed the submit message or the caller has been answered. */
  async waitUntilDelivered (): Promise<void> {
    const { clock } = this.#options.context
    while (!this.#isDelivered && !this.#isSettled) {
      await new Promise<void>((resolve) => { clock.startTimer(RETRY_DELAY_MS, resolve) })
    }
  }

  waitForAnswer (): Promise<SubmissionAnswer> {
    const { clock } = this.#options.context
    const remainingMs = this.#options.deadlineAtMs - clock.readMonotonicMs()
    this.#timers.push(clock.startTimer(remainingMs + DEADLINE_GRACE_MS, () => { this.#expire() }))
    this.#timers.push(clock.startInterval(LOOKUP_PERIOD_MS, () => { void this.#lookup() }))
    this.startSubmitting()
    return this.#answer
  }

  settle (answer: SubmissionAnswer): void {
    if (this.#isSettled) return
    this.#isSettled = true
    for (const timer of this.#timers) timer.cancel()
    this.#resolve(answer)
  }

  startSubmitting (): void {
    if (this.#isSubmitting) {
      this.#isResubmitRequested = true
      return
    }
    this.#isSubmitting = true
    void this.#submitUntilDelivered().finally(() => { this.#isSubmitting = false })
  }

  async #submitUntilDelivered (): Promise<void> {
    const { context, findCoordinator } = this.#options
    while (!this.#isSettled) {
      this.#isResubmitRequested = false
      const coordinator = findCoordinator()
      const isDelivered = coordinator !== undefined && await this.#submitTo(coordinator)
      this.#isDelivered ||= isDelivered
      if (isDelivered && !this.#isResubmitRequested) return
      await new Promise<void>((resolve) => { context.clock.startTimer(RETRY_DELAY_MS, resolve) })
    }
  }

  async #submitTo (coordinator: InstanceId): Promise<boolean> {
    const { context, facts, isKeyed, isWaiting, deadlineAtMs, trace } = this.#options
    const remainingMs = deadlineAtMs - context.clock.readMonotonicMs()
    const message: SubmitMessage = { facts, isKeyed, isWaiting, remainingMs, submission: this.#submissionId, mayBeKnown: this.#mayBeKnown }
    const reply = await sendValidatedRequest(
      context.network, coordinator, PEER_MESSAGE_KINDS.submit, message, submitReplySchema, SUBMIT_TIMEOUT_MS, trace
    )
    if (!reply.ok) {
      if (reply.val.code !== PEER_ERROR_CODES.notConnected) this.#mayBeKnown = true
      return false
    }
    return this.#applyReply(reply.val)
  }

  /** Returns whether the coordinator has processed the request, so that submitting can end. */
  #applyReply (reply: SubmitReply): boolean {
    const { requestId } = this
    switch (reply.type) {
      case 'pending':
        this.#mayBeKnown = true
        return true
      case 'accepted':
        this.settle({ type: 'accepted', requestId })
        return true
      case 'outcome':
        this.settle({ type: 'outcome', outcome: reply.outcome })
        return true
      case 'conflict':
        this.settle({ type: 'conflict', requestId })
        return true
      case 'unavailable':
        if (this.#mayBeKnown) return false
        this.settle({ type: 'outcome', outcome: { requestId, outcome: 'notRun', reason: reply.reason, retryAfterMs: LOOKUP_PERIOD_MS } })
        return true
      case 'notOwner':
        return false
    }
  }

  async #lookup (): Promise<void> {
    const { context, findCoordinator } = this.#options
    const coordinator = findCoordinator()
    if (coordinator === undefined || this.#isSubmitting) return
    const reply = await sendValidatedRequest(
      context.network, coordinator, PEER_MESSAGE_KINDS.lookup, { requestId: this.requestId }, requestStatusSchema, SUBMIT_TIMEOUT_MS
    )
    if (!reply.ok) return
    if (reply.val.type === 'outcome') this.settle({ type: 'outcome', outcome: reply.val.outcome })
    else if (reply.val.type === 'absent' || reply.val.type === 'notOwner') this.startSubmitting()
  }

  #expire (): void {
    const { requestId } = this
    const reason = 'no answer from the home of the request by the deadline'
    if (this.#mayBeKnown) this.settle({ type: 'outcome', outcome: { requestId, outcome: 'unknown', reason } })
    else this.settle({ type: 'outcome', outcome: { requestId, outcome: 'notRun', reason } })
  }
}
