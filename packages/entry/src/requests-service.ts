import type { ServiceSchema } from 'moleculer'
import type { ApiContext } from './api-context.js'
import { createCancelAction } from './cancel-action.js'
import { createExplainAction } from './explain-action.js'
import { createLookupAction } from './lookup-action.js'
import { createSubmitAction } from './submit-action.js'

/** Returns the Moleculer service with the actions for callers. */
export function createRequestsService (context: ApiContext): ServiceSchema {
  return {
    name: 'requests',
    actions: {
      submit: createSubmitAction(context),
      lookup: createLookupAction(context),
      cancel: createCancelAction(context),
      explain: createExplainAction(context)
    }
  }
}
