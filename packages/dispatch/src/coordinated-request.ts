import { StateChart, type StateChartDefinition } from '@hibiscusledge/runtime/state-chart.js'
import type { InstanceId, RequestId, TargetId, UnitId } from '@hibiscusledge/runtime/identifiers.js'
import type { ActiveSpan } from '@hibiscusledge/runtime/span-recorder.js'
import type { TraceContext } from '@hibiscusledge/runtime/trace-context.js'
import type { TargetKind } from '@hibiscusledge/scheduling/target.js'
import requestChart from '../charts/request.json' with { type: 'json' }
import type { RequestFacts, WorkSpec } from './ledger-entry.js'
import type { RequestOutcome } from './request-outcome.js'

export type RequestState = keyof typeof requestChart.states
export type RequestEvent = 'assign' | 'unassign' | 'recordIntent' | 'grant' | 'end' | 'restart'

/** Bounds the memory of a request whose idempotency key is submitted repeatedly. */
const SUBMISSION_IDS_MAX = 32

const chart = new StateChart<RequestState, RequestEvent>(requestChart as StateChartDefinition)

/** How a request is to be run, according to the current tables. */
export interface RequestPlan {
  readonly work: WorkSpec
  readonly targetKind: TargetKind
  readonly retryLimit: number
  /** An intent is recorded in the ledger before each send of non-idempotent or exclusive work and of every worker task. */
  readonly isIntentNeeded: boolean
}

/** The shard and the owner that have the current attempt. */
export interface Assignment {
  readonly unit: UnitId
  readonly epoch: number
  readonly owner: InstanceId
}

/** The state of a request at its coordinator. */
export class CoordinatedRequest {
  readonly requestId: RequestId
  /** Entry instances that wait for the outcome. */
  readonly waiters = new Set<InstanceId>()
  readonly excludedTargets: TargetId[] = []
  /** Submissions that have joined. A late message of one of them does not restart the request after `notRun`. */
  readonly #submissionIds = new Set<string>()
  facts: Omit<RequestFacts, 'payload'>
  /** Undefined after the end, or when the request was recovered from an intent. */
  payload: { readonly value: unknown } | undefined
  plan: RequestPlan | undefined
  receivedAtMs = 0
  deadlineAtMs: number
  trace: TraceContext | undefined
  span: ActiveSpan | undefined
  attempt = 0
  retries = 0
  checkpoint: string | undefined
  /** The last attempt whose end was applied. Of its later reports only a success is applied. */
  lastEndedAttempt = 0
  assignment: Assignment | undefined
  /** The ledger has an intent for the current attempt. */
  hasIntent = false
  /** The ledger has an entry of the request, such as its acceptance or an outcome, so its outcome must be recorded too. */
  hasLedgerEntry = false
  /** An attempt may have run, and its end is not known. */
  mayHaveRun = false
  isCancelled = false
  isAssigning = false
  outcome: RequestOutcome | undefined
  endedAtMs = 0
  /** Outcome of an earlier attempt that ran at least in part. It becomes the outcome of the request if no later attempt runs. */
  fallbackOutcome: RequestOutcome | undefined
  #state: RequestState = chart.initial

  constructor (facts: RequestFacts | Omit<RequestFacts, 'payload'>, deadlineAtMs: number) {
    const { payload, ...rest } = facts as RequestFacts
    this.requestId = facts.requestId
    this.facts = rest
    this.payload = 'payload' in facts ? { value: payload } : undefined
    this.deadlineAtMs = deadlineAtMs
  }

  get state (): RequestState {
    return this.#state
  }

  /** Moves to the next state of the chart. Returns false and changes nothing when the chart has no such transition. */
  applyEvent (event: RequestEvent): boolean {
    const next = chart.findNextState(this.#state, event)
    if (next === undefined) return false
    this.#state = next
    return true
  }

  /** Adds a submission. Returns whether it had joined before. */
  addSubmissionId (submission: string | undefined): boolean {
    if (submission === undefined) return false
    const isKnown = this.#submissionIds.has(submission)
    this.#submissionIds.add(submission)
    const [oldest] = this.#submissionIds
    if (this.#submissionIds.size > SUBMISSION_IDS_MAX && oldest !== undefined) this.#submissionIds.delete(oldest)
    return isKnown
  }

  isCurrentAttempt (attempt: number): boolean {
    return this.attempt === attempt && this.#state !== 'ended'
  }
}
