import type { ApiRouteSchema } from 'moleculer-web'
import { createJsonBodyOptions } from './api-body-parser.js'

/** Both tables are one store value of at most 1 MB; JSON escapes can double a text. */
export const TABLES_BODY_LIMIT_BYTES = 2_097_152

const COMMON_ROUTE_OPTIONS = { path: '/', mergeParams: false, logging: false, mappingPolicy: 'restrict', pathToRegexpOptions: { sensitive: true } } as const

/**
 * Paths of the API. The route without a body parser comes first: moleculer-web runs the first route for paths that none
 * has, and the answer to those must not depend on their body.
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
