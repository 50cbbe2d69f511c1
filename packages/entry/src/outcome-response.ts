import type { RequestStatus } from '@hibiscusledge/dispatch/request-gateway.js'
import type { RequestOutcome } from '@hibiscusledge/dispatch/request-outcome.js'
import { createErrorResponse, type ApiResponse } from './api-response.js'

/** Returns the response to a caller that waited for the outcome; the HTTP status depends on the outcome. */
export function createOutcomeResponse (outcome: RequestOutcome): ApiResponse {
  switch (outcome.outcome) {
    case 'completed': return { status: 200, body: createOutcomeBody(outcome) }
    case 'unknown': return { status: 504, body: createOutcomeBody(outcome) }
    case 'notRun': {
      if (outcome.retryAfterMs === undefined) return { status: 503, body: createOutcomeBody(outcome) }
      const retryAfter = String(Math.max(1, Math.ceil(outcome.retryAfterMs / 1_000)))
      return { status: 429, body: createOutcomeBody(outcome), headers: { 'Retry-After': retryAfter } }
    }
  }
}

/** Returns the response to a lookup or cancellation: any known outcome gives HTTP status 200, a pending request `pendingHttpStatus`. */
export function createStatusResponse (status: RequestStatus, pendingHttpStatus: 200 | 202): ApiResponse {
  switch (status.type) {
    case 'outcome': return { status: 200, body: createOutcomeBody(status.outcome) }
    case 'pending': return { status: pendingHttpStatus, body: { requestId: status.requestId, outcome: 'pending' } }
    case 'absent': return createErrorResponse('requestAbsent')
    case 'unavailable': return createErrorResponse('homeUnavailable', { reason: status.reason })
  }
}

/** Returns only the documented fields, since the outcome object may have further ones. */
function createOutcomeBody (outcome: RequestOutcome): Readonly<Record<string, unknown>> {
  const { requestId } = outcome
  if (outcome.outcome === 'completed') return { requestId, outcome: outcome.outcome, result: outcome.result ?? null }
  if (outcome.outcome === 'unknown') return { requestId, outcome: outcome.outcome, reason: outcome.reason }
  const { reason, retryAfterMs } = outcome
  return { requestId, outcome: outcome.outcome, reason, ...(retryAfterMs === undefined ? {} : { retryAfterMs: Math.ceil(retryAfterMs) }) }
}
