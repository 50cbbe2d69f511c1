import { READINESS_REASONS } from './api-messages.js'
import type { ApiContext } from './api-context.js'
import type { ApiResponse } from './api-response.js'

/** Handles `GET /readyz`. */
export function createCheckReadinessAction (context: ApiContext): () => ApiResponse {
  return () => {
    const state = context.lifeCycle.readState()
    if (state === 'draining' || state === 'stopped') return createNotReadyResponse(READINESS_REASONS.draining)
    const tables = context.tables.readCurrent()
    if (tables === undefined) return createNotReadyResponse(READINESS_REASONS.noTables)
    if (state !== 'serving') return createNotReadyResponse(READINESS_REASONS.starting)
    return { status: 200, body: { status: 'ready', tableRevision: tables.revision } }
  }
}

function createNotReadyResponse (reason: string): ApiResponse {
  return { status: 503, body: { status: 'notReady', reason } }
}
