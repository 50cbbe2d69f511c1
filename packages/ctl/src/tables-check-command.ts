import type { Finding } from '@hibiscusledge/runtime/finding.js'
import { listUnusedPools } from '@hibiscusledge/tables/list-unused-pools.js'
import { parseTables } from '@hibiscusledge/tables/parse-tables.js'
import { TABLE_FILES } from '@hibiscusledge/tables/table-messages.js'
import type { Command, CommandReport } from './command.js'
import { REPORT_TEXTS } from './ctl-messages.js'
import { EXIT_CODES } from './exit-codes.js'
import { createUsageReport } from './reports.js'
import { formatFindingLines, loadTableFiles, resolveFindingPlaces, type TableFiles, type TableName } from './table-files.js'

/** `tables check FILE...`: checks tables without an instance. */
export class TablesCheckCommand implements Command {
  readonly #paths: readonly string[]

  constructor (paths: readonly string[]) {
    this.#paths = paths
  }

  async execute (): Promise<CommandReport> {
    const loaded = await loadTableFiles(this.#paths)
    if (!loaded.ok) return createUsageReport(loaded.val)
    const files = loaded.val
    const { routes, pools } = files
    if (routes === undefined || pools === undefined) return checkSingleTable(files, routes === undefined ? 'pools' : 'routes')
    const tables = parseTables({ routes: routes.text, pools: pools.text }, 0)
    if (!tables.ok) return createCheckReport(resolveFindingPlaces(tables.val, files), [], '')
    const notes = resolveFindingPlaces(listUnusedPools(tables.val), files)
    return createCheckReport([], notes, REPORT_TEXTS.valid('routes and pools are', tables.val.hash), tables.val.hash)
  }
}

/** Checks one table. Without the other one, only findings about the given file's own cells and rows are reported. */
function checkSingleTable (files: TableFiles, name: TableName): CommandReport {
  const other = name === 'routes' ? 'pools' : 'routes'
  const tables = parseTables({ routes: files.routes?.text ?? '', pools: files.pools?.text ?? '' }, 0)
  const findings = tables.ok ? [] : tables.val.filter(({ place }) => place.startsWith(`${TABLE_FILES[name]}:`))
  const note = { code: 'joinsUnchecked', place: files[name]?.path ?? '', message: REPORT_TEXTS.joinsUnchecked(other) }
  return createCheckReport(resolveFindingPlaces(findings, files), [note], REPORT_TEXTS.valid(`${name} are`, undefined))
}

function createCheckReport (findings: readonly Finding[], notes: readonly Finding[], summary: string, hash?: string): CommandReport {
  const noteLines = formatFindingLines(notes).map((line) => `note: ${line}`)
  return {
    exitCode: findings.length > 0 ? EXIT_CODES.negative : EXIT_CODES.success,
    data: { isValid: findings.length === 0, findings, notes, ...(hash === undefined ? {} : { hash }) },
    lines: findings.length > 0 ? [...formatFindingLines(findings), ...noteLines] : [...noteLines, summary]
  }
}
