import type { PoolPolicy } from '@hibiscusledge/scheduling/pool-policy.js'
import { TARGET_KINDS } from '@hibiscusledge/scheduling/target.js'
import type { Route } from './route.js'
import type { RowReader } from './row-reader.js'
import type { PoolColumn, RouteColumn } from './table-columns.js'
import { TABLE_PROBLEMS } from './table-messages.js'

/** A route with the reader of its row, which reports findings that concern several rows. */
export interface RouteRow {
  readonly route: Route
  readonly reader: RowReader<RouteColumn>
}

/** A pool with the reader of its row. */
export interface PoolRow {
  readonly pool: PoolPolicy
  readonly reader: RowReader<PoolColumn>
}

/** Reports routes of the same kind, customer and team, since it would be undefined which one applies. */
export function checkDuplicateRoutes (rows: readonly RouteRow[]): void {
  const lineByKey = new Map<string, number>()
  for (const { route, reader } of rows) {
    if (!reader.isValid('kind', 'customer', 'team')) continue
    const key = `${route.kind}|${route.customer}|${route.team}`
    const line = lineByKey.get(key)
    if (line === undefined) lineByKey.set(key, reader.line)
    else reader.addFinding('kind', TABLE_PROBLEMS.duplicateRoute(line))
  }
}

/** Reports pools of the same name, and pools that select the same targets once defaults are applied. */
export function checkDuplicatePools (rows: readonly PoolRow[]): void {
  const lineByName = new Map<string, number>()
  const rowBySelection = new Map<string, PoolRow>()
  for (const row of rows) {
    const { pool, reader } = row
    if (!reader.isValid('pool')) continue
    const line = lineByName.get(pool.name)
    if (line !== undefined) {
      reader.addFinding('pool', TABLE_PROBLEMS.duplicatePool(pool.name, line))
      continue
    }
    lineByName.set(pool.name, reader.line)
    if (!reader.isValid('targets', 'failureDomains', 'racks', 'labels')) continue
    const key = encodeSelection(pool)
    const other = rowBySelection.get(key)
    if (other === undefined) rowBySelection.set(key, row)
    else reader.addFinding('targets', TABLE_PROBLEMS.duplicateSelection(other.pool.name, other.reader.line))
  }
}

function encodeSelection (pool: PoolPolicy): string {
  const labels = Object.entries(pool.labels).map(([name, value]) => `${name}=${value}`)
  return JSON.stringify([pool.targetKind, [...pool.failureDomains].sort(), [...pool.racks].sort(), labels.sort()])
}

/** Checks each route against the pool that it names. A pool whose row has findings counts as known. */
export function checkPoolReferences (routes: readonly RouteRow[], pools: readonly PoolRow[]): void {
  const rowByName = new Map(pools.map((row) => [row.pool.name, row]))
  for (const { route, reader } of routes) {
    if (!reader.isValid('pool')) continue
    const row = rowByName.get(route.pool)
    if (row === undefined) {
      reader.addFinding('pool', TABLE_PROBLEMS.unknownPool(route.pool))
      continue
    }
    if (row.reader.isValid('targets')) {
      if (row.pool.targetKind === TARGET_KINDS.executor) checkExecutorRoute(route, reader)
      else checkWorkerRoute(route, reader)
    }
    checkClassLimit(route, reader, row.pool)
  }
}

function checkExecutorRoute (route: Route, reader: RowReader<RouteColumn>): void {
  for (const dimension of ['cores', 'memoryMb', 'accelerators'] as const) {
    if (route.resources[dimension] > 0) reader.addFinding(dimension, TABLE_PROBLEMS.executorResources(dimension))
  }
  if (route.taskCount > 1) reader.addFinding('tasks', TABLE_PROBLEMS.executorGang())
  if (route.isResumable) reader.addFinding('resumable', TABLE_PROBLEMS.executorTask('resumable'))
  if (route.isService) reader.addFinding('service', TABLE_PROBLEMS.executorTask('service'))
}

function checkWorkerRoute (route: Route, reader: RowReader<RouteColumn>): void {
  for (const dimension of ['cores', 'memoryMb'] as const) {
    if (reader.isValid(dimension) && route.resources[dimension] === 0) {
      reader.addFinding(dimension, TABLE_PROBLEMS.workerResources(dimension))
    }
  }
}

function checkClassLimit (route: Route, reader: RowReader<RouteColumn>, pool: PoolPolicy): void {
  if (!reader.isValid('urgency') || pool.classes[route.urgency].limitPercent > 0) return
  reader.addFinding('urgency', TABLE_PROBLEMS.classWithoutCapacity(route.urgency, pool.name))
}
