import type { Finding } from '@hibiscusledge/runtime/finding.js'
import { createTableFinding, type CsvRow, type CsvTable } from './csv-table.js'
import { type Bounds, MAX_DECIMAL_PLACES, LABEL_VALUE_PATTERN, NAME_PATTERN } from './table-limits.js'
import { TABLE_PROBLEMS, type TableProblem } from './table-messages.js'

const LIST_SEPARATOR = '|'
const INTEGER_PATTERN = /^\d{1,15}$/
const DECIMAL_PATTERN = new RegExp(`^\\d{1,12}(\\.\\d{1,${MAX_DECIMAL_PLACES}})?$`)
const BOOLEANS: ReadonlyMap<string, boolean> = new Map([['true', true], ['yes', true], ['false', false], ['no', false]])

/** Reads the typed cells of a row. An invalid cell adds a finding and yields its default, so that the other cells are checked too. */
export class RowReader<Column extends string> {
  readonly #table: CsvTable<Column>
  readonly #row: CsvRow
  readonly #findings: Finding[]
  readonly #invalidColumns = new Set<Column>()

  constructor (table: CsvTable<Column>, row: CsvRow, findings: Finding[]) {
    this.#table = table
    this.#row = row
    this.#findings = findings
  }

  get line (): number { return this.#row.line }

  addFinding (column: Column, problem: TableProblem): void {
    this.#invalidColumns.add(column)
    const position = this.#table.positions.get(column) ?? 0
    this.#findings.push(createTableFinding(this.#table.file, this.#row.line, position + 1, problem))
  }

  /** Whether all these columns are present and have no finding in this row, so that rules across cells can be checked. */
  isValid (...columns: readonly Column[]): boolean {
    return columns.every((column) => this.#table.positions.has(column) && !this.#invalidColumns.has(column))
  }

  isEmpty (column: Column): boolean {
    return this.#readText(column) === ''
  }

  /** Reads a required name. */
  readName (column: Column): string {
    const text = this.#readText(column)
    if (text !== '') return this.readOptionalName(column)
    this.#addEmptyCell(column)
    return text
  }

  /** Reads a name or an empty cell. */
  readOptionalName (column: Column): string {
    const text = this.#readText(column)
    if (text !== '' && !NAME_PATTERN.test(text)) this.addFinding(column, TABLE_PROBLEMS.invalidName(column, text))
    return text
  }

  /** Reads one of a fixed set of names. The cell is required when there is no `fallback`. */
  readChoice<Choice extends string> (column: Column, choices: readonly [Choice, ...Choice[]], fallback?: Choice): Choice {
    const text = this.#readText(column)
    const choice = choices.find((candidate) => candidate === text)
    if (choice !== undefined) return choice
    if (text !== '') this.addFinding(column, TABLE_PROBLEMS.unknownName(column, text, choices))
    else if (fallback === undefined) this.#addEmptyCell(column)
    return fallback ?? choices[0]
  }

  /** Reads `true`, `false`, `yes` or `no`, ignoring case, since spreadsheets write `TRUE`. */
  readBoolean (column: Column, fallback: boolean): boolean {
    const text = this.#readText(column)
    if (text === '') return fallback
    const value = BOOLEANS.get(text.toLowerCase())
    if (value === undefined) this.addFinding(column, TABLE_PROBLEMS.invalidBoolean(column, text))
    return value ?? fallback
  }

  readInteger<Fallback extends number | undefined> (column: Column, bounds: Bounds, fallback: Fallback): number | Fallback {
    const text = this.#readText(column)
    if (text === '') return fallback
    return this.#readNumber(column, text, INTEGER_PATTERN, 'a whole number', bounds) ?? fallback
  }

  readDecimal (column: Column, bounds: Bounds, fallback: number): number {
    const text = this.#readText(column)
    if (text === '') return fallback
    return this.#readNumber(column, text, DECIMAL_PATTERN, `a number with at most ${MAX_DECIMAL_PLACES} decimals`, bounds) ?? fallback
  }

  /** Reads names separated by `|`. */
  readNames (column: Column): string[] {
    const names = new Set<string>()
    for (const item of this.#readItems(column)) {
      if (!NAME_PATTERN.test(item)) this.addFinding(column, TABLE_PROBLEMS.invalidName(column, item))
      else if (names.has(item)) this.addFinding(column, TABLE_PROBLEMS.duplicateListItem(column, item))
      else names.add(item)
    }
    return [...names]
  }

  /** Reads `name=value` pairs separated by `|`. */
  readLabels (column: Column): Readonly<Record<string, string>> {
    return this.#readPairs(column, (text) => {
      if (LABEL_VALUE_PATTERN.test(text)) return text
      this.addFinding(column, TABLE_PROBLEMS.invalidLabelValue(column, text))
      return undefined
    })
  }

  /** Reads `name=percent` pairs separated by `|`. */
  readPercentages (column: Column, bounds: Bounds): Readonly<Record<string, number>> {
    return this.#readPairs(column, (text) => {
      return this.#readNumber(column, text, DECIMAL_PATTERN, `a number with at most ${MAX_DECIMAL_PLACES} decimals`, bounds)
    })
  }

  #readPairs<Value> (column: Column, readValue: (text: string) => Value | undefined): Readonly<Record<string, Value>> {
    // The object has no prototype, so that a lookup of a team named "constructor" returns undefined and not a function.
    const pairs = Object.create(null) as Record<string, Value>
    for (const item of this.#readItems(column)) {
      const separator = item.indexOf('=')
      const name = item.slice(0, separator).trim()
      if (separator < 0) this.addFinding(column, TABLE_PROBLEMS.invalidPair(column, item))
      else if (!NAME_PATTERN.test(name)) this.addFinding(column, TABLE_PROBLEMS.invalidName(column, name))
      else if (name in pairs) this.addFinding(column, TABLE_PROBLEMS.duplicateListItem(column, name))
      else {
        const value = readValue(item.slice(separator + 1).trim())
        if (value !== undefined) pairs[name] = value
      }
    }
    return pairs
  }

  #readItems (column: Column): string[] {
    const text = this.#readText(column)
    if (text === '') return []
    const items = text.split(LIST_SEPARATOR).map((item) => item.trim())
    if (items.includes('')) this.addFinding(column, TABLE_PROBLEMS.emptyListItem(column))
    return items.filter((item) => item !== '')
  }

  #readNumber (column: Column, text: string, pattern: RegExp, form: string, bounds: Bounds): number | undefined {
    if (!pattern.test(text)) {
      this.addFinding(column, TABLE_PROBLEMS.invalidNumber(column, text, form))
      return undefined
    }
    const value = Number(text)
    if (value >= bounds.minimum && value <= bounds.maximum) return value
    this.addFinding(column, TABLE_PROBLEMS.outOfBounds(column, text, bounds.minimum, bounds.maximum))
    return undefined
  }

  /**
   * Returns the text of a cell, empty when the column is missing, which is reported once for the file. Trims it, because the
   * CSV parser keeps spaces within quotes.
   */
  #readText (column: Column): string {
    const position = this.#table.positions.get(column)
    return position === undefined ? '' : (this.#row.cells[position] ?? '').trim()
  }

  #addEmptyCell (column: Column): void {
    if (this.#table.positions.has(column)) this.addFinding(column, TABLE_PROBLEMS.emptyCell(column))
  }
}
