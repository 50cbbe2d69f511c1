import { requireRequestId, type ApiCall } from './api-call.js'
import type { ApiContext } from './api-context.js'
import { createErrorResponse, type ApiResponse } from './api-response.js'

/** Handles `GET /v1/requests/:id/explanation`. */
export function createExplainAction (context: ApiContext): (call: ApiCall) => Promise<ApiResponse> {
  return async (call) => {
    const explanation = await context.gateway.explainWait(requireRequestId(call))
    if (explanation === undefined) return createErrorResponse('notWaiting')
    const { requestId, pool, urgency, position, estimatedWaitMs, reason } = explanation
    return { status: 200, body: { requestId, pool, urgency, position, estimatedWaitMs, reason } }
  }
}
