import type { ApiContext } from './api-context.js'
import { createErrorResponse, type ApiResponse } from './api-response.js'

/** Handles `GET /v1/tables`. */
export function createReadTablesAction (context: ApiContext): () => ApiResponse {
  return () => {
    const tables = context.tables.readCurrent()
    if (tables === undefined) return createErrorResponse('noTables')
    const { revision, hash, texts } = tables
    return { status: 200, body: { revision, hash, routes: texts.routes, pools: texts.pools } }
  }
}
