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

/** Time in which the gateway must report the outcome of a request whose wait has ended and whose signal is aborted. */
const ABORT_TIMEOUT_MS = 1_000

/** Handles `POST /v1/requests`. */
export function createSubmitAction (context: ApiContext): (call: ApiCall) => Promise<ApiResponse> {
  return async (call) => {
    const { $req: request, $res: response, body, query } = call.params
    const parsed = parseSubmission({ body, query, headers: request.headers, idempotencyKeyCount: countIdempotencyKeys(request) })
    if (parsed.err) return createFindingsResponse(parsed.val)
    if (context.lifeCycle.isRefusing()) return createNotRunResponse(OUTCOME_REASONS.draining)
    if (context.tables.readCurrent() === undefined) return createNotRunResponse(OUTCOME_REASONS.noTables)
    return await submitRequest(context, parsed.val, request, response)
  }
}

async function submitRequest (
  context: ApiContext, parsed: ParsedSubmission, request: IncomingMessage, response: ServerResponse
): Promise<ApiResponse> {
  const abortController = new AbortController()
  // The response closes after its last byte was passed to the socket, or when the caller has disconnected.
  response.once('close', () => { if (!response.writableFinished) abortController.abort() })
  if (response.destroyed) abortController.abort()
  const span = context.spans.startSpan('entry.submit', parseTraceparent(request.headers['traceparent'] as string | undefined), {
    kind: parsed.submission.kind
  })
  try {
    const submission = { ...parsed.submission, trace: span.context }
    const answer = await waitForAnswer(context, context.gateway.submit(submission, abortController.signal), parsed.waitMs, abortController)
    const apiResponse = answer === undefined ? createUnknownResponse(OUTCOME_REASONS.waitElapsed) : createSubmissionResponse(answer)
    span.end({ status: apiResponse.status })
    return apiResponse
  } catch (error) {
    // The gateway may have sent the request before it failed, so the outcome can't be given as `notRun`.
    context.logger.logError(LOG_EVENTS.requestFailed, { operation: 'submit', error })
    span.end({ status: 504 })
    return createUnknownResponse(OUTCOME_REASONS.internalError)
  }
}

/** Resolves with undefined when the wait has ended and the gateway doesn't report the outcome within `ABORT_TIMEOUT_MS`. */
async function waitForAnswer (
  context: ApiContext, answer: Promise<SubmissionAnswer>, waitMs: number | undefined, abortController: AbortController
): Promise<SubmissionAnswer | undefined> {
  const effectiveWaitMs = waitMs === undefined || waitMs === 0 ? context.settings.defaultWaitMs : waitMs
  return await new Promise((resolve, reject) => {
    let timer = context.clock.startTimer(effectiveWaitMs, () => {
      abortController.abort()
      timer = context.clock.startTimer(ABORT_TIMEOUT_MS, () => resolve(undefined))
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

// Node.js joins repeated headers with ", ", so counting them is needed only when the value contains it.
function countIdempotencyKeys (request: IncomingMessage): number {
  const key = request.headers['idempotency-key']
  if (key === undefined) return 0
  return key.includes(', ') ? request.headersDistinct['idempotency-key']?.length ?? 1 : 1
}
