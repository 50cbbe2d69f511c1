import { readFile } from 'node:fs/promises'
import { formatFindings, type Finding } from '@hibiscusledge/runtime/finding.js'
import { POOL_COLUMNS, ROUTE_COLUMNS } from '@hibiscusledge/tables/table-columns.js'
import { TABLE_FILES } from '@hibiscusledge/tables/table-messages.js'
import type { TableSources } from '@hibiscusledge/tables/table-set.js'
import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import { USAGE_FINDINGS } from './ctl-messages.js'
import { escapeControlCharacters } from './format-columns.js'

export type TableName = keyof TableSources

export interface TableFile {
  readonly path: string
  readonly text: string
}

/** The files that were given, by the table that they hold. */
export type TableFiles = Partial<Record<TableName, TableFile>>

/** Reads files and detects by its header which table each one holds. The findings concern whole files, not rows. */
export async function loadTableFiles (paths: readonly string[]): Promise<Result<TableFiles, readonly Finding[]>> {
  const findings: Finding[] = []
  const files: TableFiles = {}
  for (const path of paths) {
    const text = await loadUtf8Text(path, findings)
    if (text === undefined) continue
    const name = detectTable(text)
    const other = name === undefined ? undefined : files[name]
    if (name === undefined) findings.push(USAGE_FINDINGS.unknownTable(path))
    else if (other !== undefined) findings.push(USAGE_FINDINGS.repeatedTable(path, name, other.path))
    else files[name] = { path, text }
  }
  return findings.length > 0 ? new Err(findings) : new Ok(files)
}

async function loadUtf8Text (path: string, findings: Finding[]): Promise<string | undefined> {
  try {
    const bytes = await readFile(path)
    return new TextDecoder('utf-8', { fatal: true, ignoreBOM: true }).decode(bytes)
  } catch (error) {
    const { code } = error as { code?: unknown }
    findings.push(code === 'ERR_ENCODING_INVALID_ENCODED_DATA' ? USAGE_FINDINGS.notUtf8(path) : USAGE_FINDINGS.unreadableFile(path, String(code)))
    return undefined
  }
}

/**
 * Returns the table that shares more column names, `pool` not counted, with the header, which is the first line that is not
 * empty or a comment. Returns undefined if both tables share equally many.
 */
function detectTable (text: string): TableName | undefined {
  const header = text.replace(/^\uFEFF/, '').split(/\r\n?|\n/).find((line) => line.trim() !== '' && !line.trimStart().startsWith('#')) ?? ''
  const cells = new Set(header.split(',').map((cell) => cell.trim().replace(/^"(.*)"$/, '$1').trim()))
  // Both tables have a column `pool`.
  const routeCount = ROUTE_COLUMNS.filter((column) => column !== 'pool' && cells.has(column)).length
  const poolCount = POOL_COLUMNS.filter((column) => column !== 'pool' && cells.has(column)).length
  if (routeCount === poolCount) return undefined
  return routeCount > poolCount ? 'routes' : 'pools'
}

/** Replaces the table's default file name in the places of findings by the path that was given. */
export function resolveFindingPlaces (findings: readonly Finding[], files: TableFiles): readonly Finding[] {
  return findings.map((finding) => {
    for (const name of ['routes', 'pools'] as const) {
      const path = files[name]?.path
      const prefix = `${TABLE_FILES[name]}:`
      if (path !== undefined && finding.place.startsWith(prefix)) {
        return { ...finding, place: `${path}:${finding.place.slice(prefix.length)}` }
      }
    }
    return finding
  })
}

/** Formats findings as lines for a terminal. */
export function formatFindingLines (findings: readonly Finding[]): readonly string[] {
  return findings.map((finding) => escapeControlCharacters(formatFindings([finding])))
}
