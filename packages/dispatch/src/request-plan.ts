import { TARGET_KINDS } from '@hibiscusledge/scheduling/target.js'
import { findRoute } from '@hibiscusledge/tables/find-route.js'
import type { CurrentTables } from '@hibiscusledge/tables/current-tables.js'
import type { RequestPlan } from './coordinated-request.js'
import type { RequestFacts } from './ledger-entry.js'

/** Builds the plan of a request from the current tables. Returns undefined when they have no route or pool for it. */
export function buildPlan (tables: CurrentTables, facts: Pick<RequestFacts, 'kind' | 'customer' | 'team'>): RequestPlan | undefined {
  const current = tables.readCurrent()
  const route = current === undefined ? undefined : findRoute(current, facts.kind, facts.customer, facts.team)
  const pool = current?.pools.find((entry) => entry.name === route?.pool)
  if (route === undefined || pool === undefined) return undefined
  return {
    targetKind: pool.targetKind,
    retryLimit: route.retryLimit,
    isIntentNeeded: !route.isIdempotent || route.isExclusive || pool.targetKind === TARGET_KINDS.worker,
    work: {
      pool: route.pool,
      urgency: route.urgency,
      resources: route.resources,
      taskCount: route.taskCount,
      isIdempotent: route.isIdempotent,
      isExclusive: route.isExclusive,
      isResumable: route.isResumable,
      isService: route.isService,
      ...(route.runtimeMs === undefined ? {} : { runtimeMs: route.runtimeMs })
    }
  }
}
