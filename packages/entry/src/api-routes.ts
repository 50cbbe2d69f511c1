import type { ApiRouteSchema } from 'moleculer-web'
import { createJsonBodyOptions } from './api-body-parser.js'

/** Both tables are stored as one value of at most 1 MB, and JSON escapes can double the length of a text. */
export const TABLES_BODY_LIMIT_BYTES = 2_097_152

const COMMON_ROUTE_OPTIONS = { path: '/', mergeParams: false, logging: false, mappingPolicy: 'restrict', pathToRegexpOptions: { sensitive: true } } as const

/**
 * Returns the routes of the API. The route without a body parser is the first one: moleculer-web uses the first route for
 * unknown paths, and the response to those must not depend on the body.
 */
export function createApiRoutes (maxBodyBytes: number): ApiRouteSchema[] {
  const routes = [
    {
      ...COMMON_ROUTE_OPTIONS,
      name: 'withoutBody',
      bodyParsers: false,
      aliases: {
        'GET /v1/requests/:id': createAlias('requests.lookup'),
        'DELETE /v1/requests/:id': createAlias('requests.cancel'),
        'GET /v1/requests/:id/explanation': createAlias('requests.explain'),
        'GET /v1/tables': createAlias('operations.readTables'),
        'GET /v1/status': createAlias('operations.readStatus'),
        'GET /healthz': createAlias('operations.checkHealth'),
        'GET /readyz': createAlias('operations.checkReadiness')
      }
    },
    {
      ...COMMON_ROUTE_OPTIONS,
      name: 'submissions',
      bodyParsers: { json: createJsonBodyOptions(maxBodyBytes) },
      aliases: { 'POST /v1/requests': createAlias('requests.submit') }
    },
    {
      ...COMMON_ROUTE_OPTIONS,
      name: 'tables',
      bodyParsers: { json: createJsonBodyOptions(TABLES_BODY_LIMIT_BYTES) },
      aliases: { 'PUT /v1/tables': createAlias('operations.applyTables') }
    }
  ]
  return routes as unknown as ApiRouteSchema[]
}

function createAlias (action: string): { action: string, passReqResToParams: true } {
  return { action, passReqResToParams: true }
}
