import type { ApiCall } from './api-call.js'
import type { ApiContext } from './api-context.js'
import { createErrorResponse, createFindingsResponse, type ApiResponse } from './api-response.js'
import { buildFindings } from './build-findings.js'
import { LOG_EVENTS } from './log-events.js'
import type { TableEditResult } from './table-editor.js'
import { tableEditSchema } from './table-edit-schema.js'

/** Handles `PUT /v1/tables`. */
export function createApplyTablesAction (context: ApiContext): (call: ApiCall) => Promise<ApiResponse> {
  return async (call) => {
    const { body } = call.params
    const parsed = tableEditSchema.safeParse(body)
    if (!parsed.success) return createFindingsResponse(buildFindings(parsed.error.issues, body, 'body'))
    const { routes, pools, expectedRevision, author } = parsed.data
    try {
      return createEditResponse(await context.tableEditor.applyTables({ routes, pools }, expectedRevision, author))
    } catch (error) {
      // The editor may have written the tables before it failed.
      context.logger.logError(LOG_EVENTS.requestFailed, { operation: 'applyTables', error })
      return createErrorResponse('editUnknown')
    }
  }
}

function createEditResponse (result: TableEditResult): ApiResponse {
  switch (result.type) {
    case 'accepted': return { status: 200, body: { revision: result.revision, hash: result.hash } }
    case 'invalid': return createFindingsResponse(result.findings)
    case 'conflict': {
      const { currentRevision, currentAuthor, currentAppliedAt, expectedRevision, author } = result
      return { status: 409, body: { currentRevision, currentAuthor, currentAppliedAt, expectedRevision, author } }
    }
    case 'notApplied': return createErrorResponse('notApplied', { reason: result.reason })
    case 'unknown': return createErrorResponse('editUnknown', { reason: result.reason })
  }
}
