import { URGENCIES } from '@hibiscusledge/scheduling/urgency.js'
import type { Route } from './route.js'
import type { RowReader } from './row-reader.js'
import type { RouteColumn } from './table-columns.js'
import { CELL_BOUNDS, ROUTE_DEFAULTS } from './table-limits.js'
import { TABLE_PROBLEMS } from './table-messages.js'

/** Reads a row of `routes.csv` and checks the rules within the row. */
export function readRoute (reader: RowReader<RouteColumn>): Route {
  const kind = reader.readName('kind')
  const customer = reader.readOptionalName('customer')
  const team = reader.readOptionalName('team')
  const pool = reader.readName('pool')
  const urgency = reader.readChoice('urgency', URGENCIES, ROUTE_DEFAULTS.urgency)
  const resources = {
    cores: reader.readDecimal('cores', CELL_BOUNDS.cores, ROUTE_DEFAULTS.cores),
    memoryMb: reader.readInteger('memoryMb', CELL_BOUNDS.memoryMb, ROUTE_DEFAULTS.memoryMb),
    accelerators: reader.readInteger('accelerators', CELL_BOUNDS.accelerators, ROUTE_DEFAULTS.accelerators)
  }
  const taskCount = reader.readInteger('tasks', CELL_BOUNDS.tasks, ROUTE_DEFAULTS.tasks)
  const isIdempotent = reader.readBoolean('idempotent', ROUTE_DEFAULTS.idempotent)
  const isExclusive = reader.readBoolean('exclusive', ROUTE_DEFAULTS.exclusive)
  const isResumable = reader.readBoolean('resumable', ROUTE_DEFAULTS.resumable)
  const isService = reader.readBoolean('service', ROUTE_DEFAULTS.service)
  const runtimeMs = reader.readInteger('runtimeMs', CELL_BOUNDS.runtimeMs, undefined)
  const deadlineMs = reader.readInteger('deadlineMs', CELL_BOUNDS.deadlineMs, ROUTE_DEFAULTS.deadlineMs)
  const retryLimit = reader.readInteger('retryLimit', CELL_BOUNDS.retryLimit, isIdempotent ? ROUTE_DEFAULTS.retryLimit : 0)
  const route: Route = {
    kind,
    customer,
    team,
    pool,
    urgency,
    resources,
    taskCount,
    isIdempotent,
    isExclusive,
    isResumable,
    isService,
    runtimeMs,
    deadlineMs,
    retryLimit
  }
  checkRow(reader, route)
  return route
}

function checkRow (reader: RowReader<RouteColumn>, route: Route): void {
  if (reader.isValid('idempotent', 'retryLimit') && !route.isIdempotent && route.retryLimit > 0) {
    reader.addFinding('retryLimit', TABLE_PROBLEMS.retriedNonIdempotent())
  }
  if (!reader.isValid('runtimeMs') || route.runtimeMs === undefined) return
  if (reader.isValid('service') && route.isService) {
    reader.addFinding('runtimeMs', TABLE_PROBLEMS.serviceRuntime())
  } else if (reader.isValid('deadlineMs') && route.runtimeMs > route.deadlineMs) {
    reader.addFinding('runtimeMs', TABLE_PROBLEMS.runtimeOverDeadline(route.runtimeMs, route.deadlineMs))
  }
}
