import type { ServiceSchema } from 'moleculer'
import type { ApiContext } from './api-context.js'
import { createCancelAction } from './cancel-action.js'
import { createExplainAction } from './explain-action.js'
import { createLookupAction } from './lookup-action.js'
import { createSubmitAction } from './submit-action.js'

/** Requests of callers. */
export function createRequestsService (parts: ApiContext): ServiceSchema {
  return {
    name: 'requests',
    actions: {
      submit: createSubmitAction(parts),
      lookup: createLookupAction(parts),
      cancel: createCancelAction(parts),
      explain: createExplainAction(parts)
    }
  }
}
