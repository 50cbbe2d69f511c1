import type { SubmissionAnswer } from '@hibiscusledge/dispatch/request-gateway.js'
import { OUTCOMES } from '@hibiscusledge/dispatch/request-outcome.js'
import { parseTraceparent } from '@hibiscusledge/runtime/trace-context.js'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ApiCall } from './api-call.js'
import { OUTCOME_REASONS } from './api-messages.js'
import type { ApiContext } from './api-context.js'
import { createErrorResponse, createFindingsResponse, type ApiResponse } from './api-response.js'
import { LOG_EVENTS } from './log-events.js'
import { createOutcomeResponse } from './outcome-response.js'
import { parseSubmission, type ParsedSubmission } from './parse-submission.js'

/** How long the gateway may take to say what became of a request whose wait has ended. */
const ABORT_TIMEOUT_MS = 1_000

/** `POST /v1/requests` */
export function createSubmitAction (parts: ApiContext): (call: ApiCall) => Promise<ApiResponse> {
  return async (call) => {
    const { $req: request, $res: response, body, query } = call.params
    const parsed = parseSubmission({ body, query, headers: request.headers, idempotencyKeyCount: countIdempotencyKeys(request) })
    if (parsed.err) return createFindingsResponse(parsed.val)
    if (parts.lifeCycle.isRefusing()) return createNotRunResponse(OUTCOME_REASONS.draining)
    if (parts.tables.readCurrent() === undefined) return createNotRunResponse(OUTCOME_REASONS.noTables)
    return await submitRequest(parts, parsed.val, request, response)
  }
}

async function submitRequest (
  parts: ApiContext, parsed: ParsedSubmission, request: IncomingMessage, response: ServerResponse
): Promise<ApiResponse> {
  const caller = new AbortController()
  // The response closes after its last byte was handed to the socket or when the caller has gone.
  response.once('close', () => { if (!response.writableFinished) caller.abort() })
  if (response.destroyed) caller.abort()
  const span = parts.spans.startSpan('entry.submit', parseTraceparent(request.headers['traceparent'] as string | undefined), {
    kind: parsed.submission.kind
  })
  try {
    const submission = { ...parsed.submission, trace: span.context }
    const answer = await waitForAnswer(parts, parts.gateway.submit(submission, caller.signal), parsed.waitMs, caller)
    const apiResponse = answer === undefined ? createUnknownResponse(OUTCOME_REASONS.waitElapsed) : createSubmissionResponse(answer)
    span.end({ status: apiResponse.status })
    return apiResponse
  } catch (error) {
    // The gateway may have sent the request before it failed, so "not run" would be a guess.
    parts.logger.logError(LOG_EVENTS.requestFailed, { operation: 'submit', error })
    span.end({ status: 504 })
    return createUnknownResponse(OUTCOME_REASONS.internalError)
  }
}

/** Undefined when the wait has ended and the gateway doesn't say in time what became of the request. */
async function waitForAnswer (
  parts: ApiContext, answer: Promise<SubmissionAnswer>, waitMs: number | undefined, caller: AbortController
): Promise<SubmissionAnswer | undefined> {
  const limitMs = waitMs === undefined || waitMs === 0 ? parts.settings.defaultWaitMs : waitMs
  return await new Promise((resolve, reject) => {
    let timer = parts.clock.startTimer(limitMs, () => {
      caller.abort()
      timer = parts.clock.startTimer(ABORT_TIMEOUT_MS, () => resolve(undefined))
    })
    answer.then(resolve, reject).finally(() => timer.cancel())
  })
}

function createSubmissionResponse (answer: SubmissionAnswer): ApiResponse {
  switch (answer.type) {
    case 'outcome': return createOutcomeResponse(answer.outcome)
    case 'accepted': return { status: 202, body: { requestId: answer.requestId, outcome: 'pending' } }
    case 'invalid': return createFindingsResponse(answer.findings)
    case 'conflict': return createErrorResponse('keyConflict', { requestId: answer.requestId })
  }
}

function createNotRunResponse (reason: string): ApiResponse {
  return { status: 503, body: { outcome: OUTCOMES.notRun, reason } }
}

function createUnknownResponse (reason: string): ApiResponse {
  return { status: 504, body: { outcome: OUTCOMES.unknown, reason } }
}

// Node.js joins a repeated header with ", ", so the headers are counted only when the value has one.
function countIdempotencyKeys (request: IncomingMessage): number {
  const key = request.headers['idempotency-key']
  if (key === undefined) return 0
  return key.includes(', ') ? request.headersDistinct['idempotency-key']?.length ?? 1 : 1
}
