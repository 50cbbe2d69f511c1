import type { Finding } from '@hibiscusledge/runtime/finding.js'
import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import { checkDuplicatePools, checkDuplicateRoutes, checkPoolReferences } from './cross-row-checks.js'
import { hashTables } from './hash-tables.js'
import { collectFindings, readTableRows } from './read-table-rows.js'
import type { TableSet, TableSources } from './table-set.js'

/** Parses and checks both tables. Fails with all findings together. */
export function parseTables (texts: TableSources, revision: number): Result<TableSet, readonly Finding[]> {
  const rows = readTableRows(texts)
  checkDuplicateRoutes(rows.routes)
  checkDuplicatePools(rows.pools)
  if (rows.hasPoolColumn) checkPoolReferences(rows.routes, rows.pools)
  const findings = collectFindings(rows)
  if (findings.length > 0) return new Err(findings)
  return new Ok({
    revision,
    hash: hashTables(texts),
    texts,
    routes: rows.routes.map(({ route }) => route),
    pools: rows.pools.map(({ pool }) => pool)
  })
}
