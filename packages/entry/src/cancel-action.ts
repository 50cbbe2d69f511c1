import { requireRequestId, type ApiCall } from './api-call.js'
import type { ApiContext } from './api-context.js'
import type { ApiResponse } from './api-response.js'
import { createStatusResponse } from './outcome-response.js'

/** `DELETE /v1/requests/:id` */
export function createCancelAction (parts: ApiContext): (call: ApiCall) => Promise<ApiResponse> {
  return async (call) => createStatusResponse(await parts.gateway.cancel(requireRequestId(call)), 202)
}
