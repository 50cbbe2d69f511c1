import { requireRequestId, type ApiCall } from './api-call.js'
import type { ApiContext } from './api-context.js'
import type { ApiResponse } from './api-response.js'
import { createStatusResponse } from './outcome-response.js'

/** Handles `DELETE /v1/requests/:id`. */
export function createCancelAction (context: ApiContext): (call: ApiCall) => Promise<ApiResponse> {
  return async (call) => createStatusResponse(await context.gateway.cancel(requireRequestId(call)), 202)
}
