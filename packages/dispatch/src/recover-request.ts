import type { RequestId } from '@hibiscusledge/runtime/identifiers.js'
import type { DispatchContext } from './dispatch-context.js'
import { CoordinatedRequest } from './coordinated-request.js'
import type { LedgerRecord } from './ledger-state.js'
import { buildPlan } from './request-plan.js'

/** Rebuilds a request from its ledger record, which an earlier coordinator has written. */
export function recoverRequest (context: DispatchContext, requestId: RequestId, record: LedgerRecord): CoordinatedRequest {
  const { clock, tables } = context
  const facts = record.accepted?.facts ?? record.intent?.facts ?? record.endedIntent?.facts ?? {
    requestId, fingerprint: record.outcome?.fingerprint ?? '', kind: '', customer: '', team: ''
  }
  const deadlineWallMs = record.intent?.deadlineWallMs ?? record.accepted?.deadlineWallMs ?? record.endedIntent?.deadlineWallMs ?? 0
  const nowMs = clock.readMonotonicMs()
  const request = new CoordinatedRequest(facts, nowMs + deadlineWallMs - clock.readWallMs())
  request.receivedAtMs = nowMs
  request.hasLedgerEntry = true
  request.plan = buildPlan(tables, facts)
  // The earlier coordinator may have started the request, because idempotent executor work has no intent.
  const mayBeSent = record.accepted !== undefined && record.intent === undefined && request.plan?.isIntentNeeded !== true
  request.mayHaveRun = mayBeSent || record.endedIntent !== undefined
  if (record.intent !== undefined) recoverIntent(context, request, record.intent)
  if (record.outcome !== undefined) {
    request.applyEvent('end')
    request.isCancelled = record.outcome.isCancelled
    request.outcome = buildRecoveredOutcome(record.outcome)
    request.endedAtMs = nowMs
  }
  return request
}

/** Restores the attempt of a recorded intent. The current owner of its shard will report its end. */
function recoverIntent (context: DispatchContext, request: CoordinatedRequest, intent: NonNullable<LedgerRecord['intent']>): void {
  request.hasIntent = true
  request.attempt = intent.attempt
  request.assignment = { unit: intent.unit, epoch: intent.epoch, owner: context.network.self.instance }
  request.applyEvent('assign')
  request.applyEvent('recordIntent')
  request.applyEvent('grant')
}

function buildRecoveredOutcome (entry: NonNullable<LedgerRecord['outcome']>): CoordinatedRequest['outcome'] {
  if (entry.resultDigest === undefined) return entry.outcome
  return {
    requestId: entry.requestId,
    outcome: 'unknown',
    reason: `completed, but its result is no longer available (SHA-256 ${entry.resultDigest})`
  }
}
