import type { Finding } from '@hibiscusledge/runtime/finding.js'
import tsResults, { type Result } from 'ts-results'
import { checkDuplicatePools, checkDuplicateRoutes, checkJoins, type PoolRow, type RouteRow } from './check-joins.js'
import { parseCsvTable } from './csv-table.js'
import { hashTables } from './hash-tables.js'
import { readPool } from './read-pool.js'
import { readRoute } from './read-route.js'
import { RowReader } from './row-reader.js'
import { POOL_COLUMNS, ROUTE_COLUMNS } from './table-columns.js'
import { TABLE_FILES } from './table-messages.js'
import type { TableSet, TableTexts } from './table-set.js'

// ts-results is a CommonJS module whose exports Node.js cannot name.
const { Err, Ok } = tsResults

/** Parses and checks both tables. All findings are reported together. */
export function parseTables (texts: TableTexts, revision: number): Result<TableSet, readonly Finding[]> {
  const routeFindings: Finding[] = []
  const poolFindings: Finding[] = []
  const routeRows = parseRoutes(texts.routes, routeFindings)
  const poolRows = parsePools(texts.pools, poolFindings)
  if (routeRows !== undefined) checkDuplicateRoutes(routeRows)
  if (poolRows !== undefined) checkDuplicatePools(poolRows)
  // When the pools have no readable names, every join would look dangling.
  if (routeRows !== undefined && poolRows !== undefined) checkJoins(routeRows, poolRows)
  const findings = [...sortByPlace(routeFindings), ...sortByPlace(poolFindings)]
  if (findings.length > 0) return new Err(findings)
  return new Ok({
    revision,
    hash: hashTables(texts),
    texts,
    routes: (routeRows ?? []).map(({ route }) => route),
    pools: (poolRows ?? []).map(({ pool }) => pool)
  })
}

function parseRoutes (text: string, findings: Finding[]): RouteRow[] | undefined {
  const table = parseCsvTable(TABLE_FILES.routes, text, ROUTE_COLUMNS, findings)
  return table?.rows.map((row) => {
    const reader = new RowReader(table, row, findings)
    return { reader, route: readRoute(reader) }
  })
}

function parsePools (text: string, findings: Finding[]): PoolRow[] | undefined {
  const table = parseCsvTable(TABLE_FILES.pools, text, POOL_COLUMNS, findings)
  if (!table?.positions.has('pool')) return undefined
  return table.rows.map((row) => {
    const reader = new RowReader(table, row, findings)
    return { reader, pool: readPool(reader) }
  })
}

/** Sorts the findings of one file by row and column, as rules across rows are checked after the cells. */
function sortByPlace (findings: readonly Finding[]): Finding[] {
  const readPosition = (finding: Finding): readonly number[] => finding.place.split(':').slice(1).map(Number)
  return [...findings].sort((left, right) => {
    const [leftRow = 0, leftColumn = 0] = readPosition(left)
    const [rightRow = 0, rightColumn = 0] = readPosition(right)
    return leftRow - rightRow || leftColumn - rightColumn
  })
}
