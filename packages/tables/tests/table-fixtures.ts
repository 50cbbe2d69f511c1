import { POOL_COLUMNS, type PoolColumn, ROUTE_COLUMNS, type RouteColumn } from '../src/table-columns.js'
import type { TableSources } from '../src/table-set.js'

export type RouteCells = Partial<Record<RouteColumn, string>>
export type PoolCells = Partial<Record<PoolColumn, string>>

/** Builds a route to the executor pool `quick`. */
export function buildRouteCells (cells: RouteCells = {}): RouteCells {
  return { kind: 'enquiry', pool: 'quick', ...cells }
}

/** Builds a route to the worker pool `heavy`. */
export function buildWorkerRouteCells (cells: RouteCells = {}): RouteCells {
  return { kind: 'posting', pool: 'heavy', cores: '2', memoryMb: '4096', ...cells }
}

export const QUICK_POOL: PoolCells = { pool: 'quick', targets: 'executor' }
export const HEAVY_POOL: PoolCells = { pool: 'heavy', targets: 'worker' }

export function buildTexts (routes: readonly RouteCells[], pools: readonly PoolCells[] = [QUICK_POOL, HEAVY_POOL]): TableSources {
  return { routes: formatCsv(ROUTE_COLUMNS, routes), pools: formatCsv(POOL_COLUMNS, pools) }
}

/** Formats a CSV file with every cell quoted, as some spreadsheets do. */
export function formatCsv<Column extends string> (
  columns: readonly Column[], rows: ReadonlyArray<Partial<Record<Column, string>>>
): string {
  const lines = rows.map((row) => columns.map((column) => `"${(row[column] ?? '').replaceAll('"', '""')}"`).join(','))
  return [columns.join(','), ...lines, ''].join('\n')
}
