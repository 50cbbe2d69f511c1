import type { ServiceSchema } from 'moleculer'
import type { ApiContext } from './api-context.js'
import { createApplyTablesAction } from './apply-tables-action.js'
import { createCheckHealthAction } from './check-health-action.js'
import { createCheckReadinessAction } from './check-readiness-action.js'
import { createReadStatusAction } from './read-status-action.js'
import { createReadTablesAction } from './read-tables-action.js'

/** Returns the Moleculer service with the actions for operators (tables, status) and for the platform's load balancer (probes). */
export function createOperationsService (context: ApiContext): ServiceSchema {
  return {
    name: 'operations',
    actions: {
      applyTables: createApplyTablesAction(context),
      checkHealth: createCheckHealthAction(),
      checkReadiness: createCheckReadinessAction(context),
      readStatus: createReadStatusAction(context),
      readTables: createReadTablesAction(context)
    }
  }
}
