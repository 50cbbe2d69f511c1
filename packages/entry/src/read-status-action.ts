import type { ApiContext } from './api-context.js'
import type { ApiResponse } from './api-response.js'

/** Handles `GET /v1/status`. */
export function createReadStatusAction (context: ApiContext): () => ApiResponse {
  return () => {
    const { instanceId, failureDomain } = context.settings
    const { incarnation, members, units, loads, store } = context.status.readStatus()
    const body = {
      instance: instanceId,
      incarnation,
      failureDomain,
      state: context.lifeCycle.readState(),
      tableRevision: context.tables.readCurrent()?.revision ?? null,
      members,
      units,
      loads,
      store
    }
    return { status: 200, body }
  }
}
