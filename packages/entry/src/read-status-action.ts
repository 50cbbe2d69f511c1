import type { ApiContext } from './api-context.js'
import type { ApiResponse } from './api-response.js'

/** `GET /v1/status` */
export function createReadStatusAction (parts: ApiContext): () => ApiResponse {
  return () => {
    const { instanceId, failureDomain } = parts.settings
    const { incarnation, members, units, loads, store } = parts.status.readStatus()
    const body = {
      instance: instanceId,
      incarnation,
      failureDomain,
      state: parts.lifeCycle.readState(),
      tableRevision: parts.tables.readCurrent()?.revision ?? null,
      members,
      units,
      loads,
      store
    }
    return { status: 200, body }
  }
}
