import type { Finding } from '@hibiscusledge/runtime/finding.js'
import { parseTables } from '@hibiscusledge/tables/parse-tables.js'
import type { TableSources } from '@hibiscusledge/tables/table-set.js'
import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import { acceptedResponse, conflictResponse, findingsResponse, tablesResponse } from './response-schemas.js'
import type { ApiResponse, ApiClient } from './api-client.js'
import type { Command, CommandReport } from './command.js'
import { FAILURE_REASONS, REPORT_TEXTS } from './ctl-messages.js'
import { EXIT_CODES } from './exit-codes.js'
import { formatConflict } from './format-tables.js'
import { createErrorReport, createFailureReport, createStatusErrorReport, createUsageReport, parseApiErrorBody } from './reports.js'
import { formatFindingLines, loadTableFiles, resolveFindingPlaces, type TableFiles } from './table-files.js'

const TABLES_PATH = '/v1/tables'
/** Error code of the API for a change that certainly was not applied, because the store was unavailable. */
const NOT_APPLIED = 'notApplied'

/** The revision on which the change is based, with the lines that report it. */
interface BaseRevision {
  readonly revision: number
  readonly lines: readonly string[]
}

/** `tables apply FILE FILE`: applies both tables in one change. */
export class TablesApplyCommand implements Command {
  readonly #client: ApiClient
  readonly #paths: readonly string[]
  readonly #author: string
  readonly #expectedRevision: number | undefined

  constructor (client: ApiClient, paths: readonly string[], author: string, expectedRevision: number | undefined) {
    this.#client = client
    this.#paths = paths
    this.#author = author
    this.#expectedRevision = expectedRevision
  }

  async execute (): Promise<CommandReport> {
    const loaded = await loadTableFiles(this.#paths)
    if (!loaded.ok) return createUsageReport(loaded.val)
    const files = loaded.val
    const texts: TableSources = { routes: files.routes?.text ?? '', pools: files.pools?.text ?? '' }
    const tables = parseTables(texts, 0)
    if (!tables.ok) return createFindingsReport(tables.val, files)
    const base = await this.#readBaseRevision()
    if (!base.ok) return base.val
    const { revision, lines } = base.val
    const report = await this.#sendChange(texts, revision, files)
    return { ...report, data: { expectedRevision: revision, ...(report.data as object) }, lines: [...lines, ...report.lines] }
  }

  async #readBaseRevision (): Promise<Result<BaseRevision, CommandReport>> {
    if (this.#expectedRevision !== undefined) return new Ok({ revision: this.#expectedRevision, lines: [] })
    const result = await this.#client.send('GET', TABLES_PATH)
    if (!result.ok) return new Err(createFailureReport(this.#client, result.val))
    const parsed = tablesResponse.safeParse(result.val.body)
    if (result.val.status === 200 && parsed.success) {
      return new Ok({ revision: parsed.data.revision, lines: [REPORT_TEXTS.baseRevisionRead(parsed.data.revision)] })
    }
    // Revision 0 is safe even if tables exist and have not reached this instance yet: the store then refuses the change.
    if (parseApiErrorBody(result.val).code === 'noTables') return new Ok({ revision: 0, lines: [REPORT_TEXTS.noTables] })
    if (result.val.status !== 200) return new Err(createStatusErrorReport(result.val))
    return new Err(createFailureReport(this.#client, { mayHaveArrived: true, reason: FAILURE_REASONS.unexpected(200) }))
  }

  async #sendChange (texts: TableSources, expectedRevision: number, files: TableFiles): Promise<CommandReport> {
    const result = await this.#client.send('PUT', TABLES_PATH, { ...texts, expectedRevision, author: this.#author })
    if (result.ok) return reportChange(result.val, files)
    if (!result.val.mayHaveArrived) return createFailureReport(this.#client, result.val)
    return createErrorReport(EXIT_CODES.unknown, 'applyUnknown', REPORT_TEXTS.applyUnknown(result.val.reason))
  }
}

function reportChange (response: ApiResponse, files: TableFiles): CommandReport {
  const { status, body } = response
  const accepted = acceptedResponse.safeParse(body)
  if (status === 200 && accepted.success) {
    return { exitCode: EXIT_CODES.success, data: accepted.data, lines: [REPORT_TEXTS.accepted(accepted.data.revision, accepted.data.hash)] }
  }
  const findings = findingsResponse.safeParse(body)
  if (status === 400 && findings.success) return createFindingsReport(findings.data.findings, files)
  const conflict = conflictResponse.safeParse(body)
  if (status === 409 && conflict.success) {
    return { exitCode: EXIT_CODES.negative, data: conflict.data, lines: formatConflict(conflict.data) }
  }
  const { code, message, reason } = parseApiErrorBody(response)
  const detail = reason ?? message ?? FAILURE_REASONS.unexpected(status)
  // The instance sends 4xx responses before it tries to apply the change. A 503 without this code may come from the load
  // balancer, which does not know what the instance did before the connection broke.
  if (status >= 400 && status < 500) return createErrorReport(EXIT_CODES.negative, code ?? NOT_APPLIED, REPORT_TEXTS.notApplied(detail))
  if (status === 503 && code === NOT_APPLIED) return createErrorReport(EXIT_CODES.unknown, NOT_APPLIED, REPORT_TEXTS.notApplied(detail))
  return createErrorReport(EXIT_CODES.unknown, 'applyUnknown', REPORT_TEXTS.applyUnknown(detail))
}

function createFindingsReport (findings: readonly Finding[], files: TableFiles): CommandReport {
  const located = resolveFindingPlaces(findings, files)
  return { exitCode: EXIT_CODES.negative, data: { findings: located }, lines: formatFindingLines(located) }
}
