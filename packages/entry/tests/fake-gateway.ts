import type { RequestGateway, RequestStatus, Submission, SubmissionAnswer } from '@hibiscusledge/dispatch/request-gateway.js'
import type { WaitExplanation } from '@hibiscusledge/scheduling/shard-scheduler.js'
import { toRequestId, type RequestId } from '@hibiscusledge/runtime/identifiers.js'

export interface HeldSubmission {
  readonly submission: Submission
  readonly signal: AbortSignal
  readonly requestId: RequestId
  /** Completes the request with its own payload as the result. */
  settle (): void
}

/** Gateway whose answer depends on the kind of the request. A request of kind `hold` is pending until the test calls `settle`. */
export class FakeGateway implements RequestGateway {
  readonly held: HeldSubmission[] = []
  readonly submissions: Submission[] = []
  pendingCount = 0
  #nextId = 1

  async submit (submission: Submission, signal: AbortSignal): Promise<SubmissionAnswer> {
    this.submissions.push(submission)
    const requestId = toRequestId(`0a-${(this.#nextId++).toString(16).padStart(4, '0')}`)
    const { kind, payload } = submission
    const completed: SubmissionAnswer = { type: 'outcome', outcome: { requestId, outcome: 'completed', result: { echo: payload } } }
    if (!submission.isWaiting) return { type: 'accepted', requestId }
    switch (kind) {
      case 'overload': return { type: 'outcome', outcome: { requestId, outcome: 'notRun', reason: 'queue limit', retryAfterMs: 1_200.5 } }
      case 'expire': return { type: 'outcome', outcome: { requestId, outcome: 'notRun', reason: 'deadline passed in the queue' } }
      case 'lose': return { type: 'outcome', outcome: { requestId, outcome: 'unknown', reason: 'no answer from the target' } }
      case 'strange': return { type: 'invalid', findings: [{ code: 'unknownKind', place: 'body.kind', message: 'no route has this kind' }] }
      case 'reuse': return { type: 'conflict', requestId }
      case 'fail': throw new Error('fault in the gateway')
      case 'unserializable': return { type: 'outcome', outcome: { requestId, outcome: 'completed', result: 1n } }
      case 'leave': return await new Promise<SubmissionAnswer>((resolve) => {
        signal.addEventListener('abort', () => resolve({ type: 'outcome', outcome: { requestId, outcome: 'notRun', reason: 'left the queue' } }))
      })
      case 'never': return await new Promise<SubmissionAnswer>(() => {})
      case 'hold': return await new Promise<SubmissionAnswer>((resolve) => {
        this.held.push({ submission, signal, requestId, settle: () => resolve(completed) })
      })
      default: return completed
    }
  }

  async lookup (requestId: RequestId): Promise<RequestStatus> {
    if (requestId.startsWith('0b')) return { type: 'absent' }
    if (requestId.startsWith('0c')) return { type: 'unavailable', reason: 'partition/0c has no owner' }
    if (requestId.startsWith('0d')) return { type: 'outcome', outcome: { requestId, outcome: 'notRun', reason: 'cancelled', retryAfterMs: 10 } }
    if (requestId.startsWith('0e')) throw new Error('fault in the gateway')
    return { type: 'pending', requestId }
  }

  async cancel (requestId: RequestId): Promise<RequestStatus> {
    return await this.lookup(requestId)
  }

  async explainWait (requestId: RequestId): Promise<WaitExplanation | undefined> {
    if (requestId.startsWith('0b')) return undefined
    return { requestId, pool: 'ledgers', urgency: 'high', position: 3, estimatedWaitMs: 250, reason: 'the pool has no free slot' }
  }

  countPending (): number {
    return this.pendingCount
  }
}
