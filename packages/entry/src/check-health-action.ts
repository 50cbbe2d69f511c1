import type { ApiResponse } from './api-response.js'

/** Handles `GET /healthz`. */
export function createCheckHealthAction (): () => ApiResponse {
  return () => ({ status: 200, body: { status: 'alive' } })
}
