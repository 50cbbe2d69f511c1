import type { Finding } from '@hibiscusledge/runtime/finding.js'
import { isTargetInPool } from '@hibiscusledge/scheduling/pool-policy.js'
import { isFitting, type Resources } from '@hibiscusledge/scheduling/resources.js'
import { TARGET_KINDS, type Target } from '@hibiscusledge/scheduling/target.js'
import type { RouteRow } from './cross-row-checks.js'
import { collectFindings, readTableRows } from './read-table-rows.js'
import { TABLE_PROBLEMS } from './table-messages.js'
import type { TableSet } from './table-set.js'

/**
 * Checks accepted tables against the listed targets. Reports pools that select no target, and routes whose task or gang
 * is too large for its pool. Not part of `parseTables`, because the list changes independently of the tables and an empty
 * pool may get targets later.
 */
export function checkTargets (tables: TableSet, targets: readonly Target[]): readonly Finding[] {
  const rows = readTableRows(tables.texts)
  const targetsByPool = new Map<string, readonly Target[]>()
  for (const { pool, reader } of rows.pools) {
    const selected = targets.filter((target) => isTargetInPool(target, pool))
    if (selected.length === 0) reader.addFinding('pool', TABLE_PROBLEMS.emptySelection(pool.name))
    else if (pool.targetKind === TARGET_KINDS.worker) targetsByPool.set(pool.name, selected)
  }
  for (const row of rows.routes) {
    const selected = targetsByPool.get(row.route.pool)
    if (selected !== undefined) checkRouteCapacity(row, selected)
  }
  return collectFindings(rows)
}

function checkRouteCapacity ({ route, reader }: RouteRow, targets: readonly Target[]): void {
  const needed = route.resources
  if (!targets.some((target) => isFitting(needed, target.capacity))) {
    const detail = `${needed.cores} cores, ${needed.memoryMb} MB, ${needed.accelerators} accelerators`
    reader.addFinding('pool', TABLE_PROBLEMS.taskOverTargets(route.pool, detail))
    return
  }
  const fittingTasks = targets.reduce((sum, target) => sum + countFittingTasks(needed, target.capacity), 0)
  if (route.taskCount > fittingTasks) reader.addFinding('tasks', TABLE_PROBLEMS.gangOverPool(route.pool, route.taskCount, fittingTasks))
}

/** Returns the number of tasks with the resources `needed` that fit on an empty target at once. */
function countFittingTasks (needed: Resources, capacity: Resources): number {
  const dimensions = (['cores', 'memoryMb', 'accelerators'] as const).filter((dimension) => needed[dimension] > 0)
  return Math.min(...dimensions.map((dimension) => Math.floor(capacity[dimension] / needed[dimension])))
}
