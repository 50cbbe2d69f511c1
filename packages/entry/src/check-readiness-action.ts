import { READINESS_REASONS } from './api-messages.js'
import type { ApiParts } from './api-parts.js'
import type { ApiResponse } from './api-response.js'

/** `GET /readyz` */
export function createCheckReadinessAction (parts: ApiParts): () => ApiResponse {
  return () => {
    const state = parts.lifeCycle.readState()
    if (state === 'draining' || state === 'stopped') return refuseReadiness(READINESS_REASONS.draining)
    const tables = parts.tables.readCurrent()
    if (tables === undefined) return refuseReadiness(READINESS_REASONS.noTables)
    if (state !== 'serving') return refuseReadiness(READINESS_REASONS.starting)
    return { status: 200, body: { status: 'ready', tableRevision: tables.revision } }
  }
}

function refuseReadiness (reason: string): ApiResponse {
  return { status: 503, body: { status: 'notReady', reason } }
}
