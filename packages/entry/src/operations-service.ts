import type { ServiceSchema } from 'moleculer'
import type { ApiContext } from './api-context.js'
import { createApplyTablesAction } from './apply-tables-action.js'
import { createCheckHealthAction } from './check-health-action.js'
import { createCheckReadinessAction } from './check-readiness-action.js'
import { createReadStatusAction } from './read-status-action.js'
import { createReadTablesAction } from './read-tables-action.js'

/** Tables, status and probes for operators and the platform's balancer. */
export function createOperationsService (parts: ApiContext): ServiceSchema {
  return {
    name: 'operations',
    actions: {
      applyTables: createApplyTablesAction(parts),
      checkHealth: createCheckHealthAction(),
      checkReadiness: createCheckReadinessAction(parts),
      readStatus: createReadStatusAction(parts),
      readTables: createReadTablesAction(parts)
    }
  }
}
