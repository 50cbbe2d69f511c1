import { TABLE_FILES } from '@hibiscusledge/tables/table-messages.js'
import type { ConflictResponse } from './response-schemas.js'
import { REPORT_TEXTS } from './ctl-messages.js'
import { escapeControlCharacters, formatColumns } from './format-columns.js'

interface TablesView {
  readonly revision: number
  readonly hash: string
  readonly routes: string
  readonly pools: string
}

export function formatTables ({ revision, hash, routes, pools }: TablesView): readonly string[] {
  return [
    `revision ${revision}`, `hash ${escapeControlCharacters(hash)}`,
    '', `--- ${TABLE_FILES.routes}`, ...formatTableText(routes),
    '', `--- ${TABLE_FILES.pools}`, ...formatTableText(pools)
  ]
}

function formatTableText (text: string): readonly string[] {
  return text.replace(/(\r\n?|\n)$/, '').split(/\r\n?|\n/).map(escapeControlCharacters)
}

/** Formats both sides of a conflict: the current revision and the refused change. */
export function formatConflict (conflict: ConflictResponse): readonly string[] {
  const { currentRevision, currentAuthor, currentAppliedAt, expectedRevision, author } = conflict
  return [REPORT_TEXTS.conflict, ...formatColumns([
    ['  theirs:', `revision ${currentRevision}`, `by ${currentAuthor}`, `at ${currentAppliedAt}`],
    ['  yours:', `made from revision ${expectedRevision}`, `by ${author}`]
  ])]
}
