import type { Finding } from '@hibiscusledge/runtime/finding.js'
import { CsvError, parse } from 'csv-parse/sync'
import { TABLE_PROBLEMS, type TableFile, type TableProblem } from './table-messages.js'

/** A row of a CSV file after the header. */
export interface CsvRow {
  /** Line of the file on which the row starts, counted from 1. */
  readonly line: number
  readonly cells: readonly string[]
}

/** A parsed CSV file with the positions of its columns. */
export interface CsvTable<Column extends string> {
  readonly file: TableFile
  /** Position of each known column, counted from 0. */
  readonly positions: ReadonlyMap<Column, number>
  readonly rows: readonly CsvRow[]
}

interface ParsedRecord {
  readonly record: string[]
  readonly info: { readonly lines: number }
}

/** Creates a finding for a cell. `line` and `column` count from 1. */
export function createTableFinding (file: TableFile, line: number, column: number, problem: TableProblem): Finding {
  return { code: problem.code, place: `${file}:${line}:${column}`, message: problem.message }
}

/** Parses the header and the rows of a CSV text. Returns undefined when it is not valid CSV or has no header. */
export function parseCsvTable<Column extends string> (
  file: TableFile, text: string, columns: readonly Column[], findings: Finding[]
): CsvTable<Column> | undefined {
  const records = parseRecords(file, text, findings)
  if (records === undefined) return undefined
  const [header, ...rows] = records
  if (header === undefined) {
    findings.push(createTableFinding(file, 1, 1, TABLE_PROBLEMS.missingHeader()))
    return undefined
  }
  const positions = readHeader(file, header, columns, findings)
  if (rows.length === 0) findings.push(createTableFinding(file, header.line, 1, TABLE_PROBLEMS.noRows()))
  for (const row of rows) {
    if (row.cells.length === header.cells.length) continue
    const column = Math.min(row.cells.length, header.cells.length) + 1
    findings.push(createTableFinding(file, row.line, column, TABLE_PROBLEMS.cellCount(row.cells.length, header.cells.length)))
  }
  return { file, positions, rows }
}

function parseRecords (file: TableFile, text: string, findings: Finding[]): CsvRow[] | undefined {
  try {
    // csv-parse counts a CRLF within quotes as two lines, so line endings are normalized first.
    const records = parse(text.replace(/\r\n?/g, '\n'), {
      bom: true,
      comment: '#',
      comment_no_infix: true,
      info: true,
      record_delimiter: '\n',
      relax_column_count: true,
      skip_empty_lines: true,
      skip_records_with_empty_values: true,
      trim: true
    }) as unknown as ParsedRecord[]
    return records.map(({ record, info }) => ({ line: info.lines - countLineBreaks(record), cells: record }))
  } catch (error) {
    if (!(error instanceof CsvError)) throw error
    const { lines, column } = error as CsvError & { lines?: number, column?: number }
    findings.push(createTableFinding(file, lines ?? 1, (column ?? 0) + 1, TABLE_PROBLEMS.malformedCsv(error.message)))
    return undefined
  }
}

/** Counts the line breaks within a record, as csv-parse reports the line on which a record ends. */
function countLineBreaks (cells: readonly string[]): number {
  return cells.reduce((count, cell) => cell.includes('\n') ? count + cell.split('\n').length - 1 : count, 0)
}

function readHeader<Column extends string> (
  file: TableFile, header: CsvRow, columns: readonly Column[], findings: Finding[]
): ReadonlyMap<Column, number> {
  const known = new Map<string, Column>(columns.map((column) => [column, column]))
  const positions = new Map<Column, number>()
  header.cells.forEach((cell, position) => {
    const name = cell.trim()
    const column = known.get(name)
    if (column === undefined) {
      findings.push(createTableFinding(file, header.line, position + 1, TABLE_PROBLEMS.unknownColumn(name)))
    } else if (positions.has(column)) {
      findings.push(createTableFinding(file, header.line, position + 1, TABLE_PROBLEMS.duplicateColumn(column)))
    } else {
      positions.set(column, position)
    }
  })
  for (const column of columns) {
    if (positions.has(column)) continue
    findings.push(createTableFinding(file, header.line, header.cells.length + 1, TABLE_PROBLEMS.missingColumn(column)))
  }
  return positions
}
