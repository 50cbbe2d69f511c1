import type { RequestId } from '@hibiscusledge/runtime/identifiers.js'
import { toRequestId } from '@hibiscusledge/runtime/identifiers.js'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { ApiError } from './api-error.js'
import { API_FINDINGS } from './api-messages.js'
import { createFindingsResponse } from './api-response.js'

/** Parameters that moleculer-web passes to an action. */
export interface ApiCall {
  readonly params: {
    readonly body: unknown
    readonly query: Readonly<Record<string, unknown>>
    /** Path parameters. */
    readonly params: Readonly<Record<string, string>>
    readonly $req: IncomingMessage
    readonly $res: ServerResponse
  }
}

const REQUEST_ID_PATTERN = /^[0-9a-f]{1,8}-[0-9a-f]{1,64}$/

/** Returns the request id from the path. Throws an `ApiError` with status 400 when it is malformed. */
export function requireRequestId (call: ApiCall): RequestId {
  const id = call.params.params['id'] ?? ''
  if (!REQUEST_ID_PATTERN.test(id)) throw new ApiError(createFindingsResponse([{ ...API_FINDINGS.requestId, place: 'path.id' }]))
  return toRequestId(id)
}
