import type { Finding } from '@hibiscusledge/runtime/finding.js'
import { collectFindings, readTableRows } from './read-table-rows.js'
import { TABLE_PROBLEMS } from './table-messages.js'
import type { TableSet } from './table-set.js'

/** Lists the pools that no route uses. They are no errors, since an operator may add a pool before the routes that use it. */
export function listUnusedPools (tables: TableSet): readonly Finding[] {
  const rows = readTableRows(tables.texts)
  const used = new Set(rows.routes.map(({ route }) => route.pool))
  for (const { pool, reader } of rows.pools) {
    if (!used.has(pool.name)) reader.addFinding('pool', TABLE_PROBLEMS.unusedPool(pool.name))
  }
  return collectFindings(rows)
}
