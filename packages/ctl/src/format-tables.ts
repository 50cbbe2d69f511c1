import { TABLE_FILES } from '@hibiscusledge/tables/table-messages.js'
import type { ConflictAnswer } from './answer-schemas.js'
import { REPORT_TEXTS } from './ctl-messages.js'
import { escapeText, formatColumns } from './format-columns.js'

interface ShownTables {
  readonly revision: number
  readonly hash: string
  readonly routes: string
  readonly pools: string
}

export function formatTables ({ revision, hash, routes, pools }: ShownTables): readonly string[] {
  return [
    `revision ${revision}`, `hash ${escapeText(hash)}`,
    '', `--- ${TABLE_FILES.routes}`, ...formatTableText(routes),
    '', `--- ${TABLE_FILES.pools}`, ...formatTableText(pools)
  ]
}

function formatTableText (text: string): readonly string[] {
  return text.replace(/(\r\n?|\n)$/, '').split(/\r\n?|\n/).map(escapeText)
}

/** Both sides of a conflict. */
export function formatConflict (conflict: ConflictAnswer): readonly string[] {
  const { currentRevision, currentAuthor, currentAppliedAt, expectedRevision, author } = conflict
  return [REPORT_TEXTS.conflict, ...formatColumns([
    ['  theirs:', `revision ${currentRevision}`, `by ${currentAuthor}`, `at ${currentAppliedAt}`],
    ['  yours:', `made from revision ${expectedRevision}`, `by ${author}`]
  ])]
}
