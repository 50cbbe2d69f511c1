import type { ApiContext } from './api-context.js'
import { createErrorResponse, type ApiResponse } from './api-response.js'

/** `GET /v1/tables` */
export function createReadTablesAction (parts: ApiContext): () => ApiResponse {
  return () => {
    const tables = parts.tables.readCurrent()
    if (tables === undefined) return createErrorResponse('noTables')
    const { revision, hash, texts } = tables
    return { status: 200, body: { revision, hash, routes: texts.routes, pools: texts.pools } }
  }
}
