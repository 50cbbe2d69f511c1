import type { Finding } from '@hibiscusledge/runtime/finding.js'
import type { PoolRow, RouteRow } from './cross-row-checks.js'
import { parseCsvTable } from './csv-table.js'
import { readPool } from './read-pool.js'
import { readRoute } from './read-route.js'
import { RowReader } from './row-reader.js'
import { POOL_COLUMNS, ROUTE_COLUMNS } from './table-columns.js'
import { TABLE_FILES } from './table-messages.js'
import type { TableSources } from './table-set.js'

/** The rows of both tables with their readers. Findings that a reader reports later are added to the same arrays. */
export interface TableRows {
  readonly routes: readonly RouteRow[]
  readonly pools: readonly PoolRow[]
  /** False when `pools.csv` has no column of names, in which case the pool of every route would be reported as unknown. */
  readonly hasPoolColumn: boolean
  readonly routeFindings: Finding[]
  readonly poolFindings: Finding[]
}

/** Reads the rows of both tables and checks each by itself. The caller checks rules across rows. */
export function readTableRows (texts: TableSources): TableRows {
  const routeFindings: Finding[] = []
  const poolFindings: Finding[] = []
  const routeTable = parseCsvTable(TABLE_FILES.routes, texts.routes, ROUTE_COLUMNS, routeFindings)
  const poolTable = parseCsvTable(TABLE_FILES.pools, texts.pools, POOL_COLUMNS, poolFindings)
  const routes = routeTable?.rows.map((row) => {
    const reader = new RowReader(routeTable, row, routeFindings)
    return { reader, route: readRoute(reader) }
  })
  const pools = poolTable?.rows.map((row) => {
    const reader = new RowReader(poolTable, row, poolFindings)
    return { reader, pool: readPool(reader) }
  })
  return { routes: routes ?? [], pools: pools ?? [], hasPoolColumn: poolTable?.positions.has('pool') ?? false, routeFindings, poolFindings }
}

/** Returns the findings of both files, sorted by row and column, since rules across rows are checked after the cells. */
export function collectFindings (rows: TableRows): readonly Finding[] {
  return [...sortByPlace(rows.routeFindings), ...sortByPlace(rows.poolFindings)]
}

function sortByPlace (findings: readonly Finding[]): Finding[] {
  const readPosition = (finding: Finding): readonly number[] => finding.place.split(':').slice(1).map(Number)
  return [...findings].sort((left, right) => {
    const [leftRow = 0, leftColumn = 0] = readPosition(left)
    const [rightRow = 0, rightColumn = 0] = readPosition(right)
    return leftRow - rightRow || leftColumn - rightColumn
  })
}
