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

/** Bounds the memory of a request whose key is used again and again. */
const SUBMISSION_IDS_MAX = 32

const chart = new StateChart<RequestState, RequestEvent>(requestChart as StateChartDefinition)

/** What the route in force says about a request. */
export interface RequestPlan {
  readonly work: WorkSpec
  readonly targetKind: TargetKind
  readonly retryLimit: number
  /** Recorded in the ledger before each send: non-idempotent or exclusive work, and every task on a worker. */
  readonly isIntentNeeded: boolean
}

/** Which shard owner has the current attempt. */
export interface Assignment {
  readonly unit: UnitId
  readonly epoch: number
  readonly owner: InstanceId
}

/** One request at its home. */
export class CoordinatedRequest {
  readonly requestId: RequestId
  readonly waiters = new Set<InstanceId>()
  readonly excludedTargets: TargetId[] = []
  /** Submissions that have joined; a late message of one of them does not start the request again after `notRun`. */
  readonly #submissionIds = new Set<string>()
  facts: Omit<RequestFacts, 'payload'>
  /** Undefined after the end, or when only the ledger's intent is known. */
  payload: { readonly value: unknown } | undefined
  plan: RequestPlan | undefined
  receivedAtMs = 0
  deadlineAtMs: number
  trace: TraceContext | undefined
  span: ActiveSpan | undefined
  attempt = 0
  retries = 0
  checkpoint: string | undefined
  /** The last attempt whose end was applied; only a success of it still counts. */
  lastEndedAttempt = 0
  assignment: Assignment | undefined
  /** The ledger holds an intent for the current attempt. */
  hasIntent = false
  /** The ledger holds the request or an outcome of it, so its end has to be recorded too. */
  hasLedgerEntry = false
  /** An attempt without an intent may have been sent, and its end is not known. */
  mayHaveRun = false
  isCancelled = false
  isAssigning = false
  outcome: RequestOutcome | undefined
  endedAtMs = 0
  /** What an earlier attempt that ran, at least in part, came to; told when no later attempt runs. */
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

  /** Moves to the next state of the chart. Returns false, and changes nothing, when the chart has no such transition. */
  applyEvent (event: RequestEvent): boolean {
    const next = chart.findNextState(this.#state, event)
    if (next === undefined) return false
    this.#state = next
    return true
  }

  /** Notes a submission. Returns whether it had joined before. */
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
