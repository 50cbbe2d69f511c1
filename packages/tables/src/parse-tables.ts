import type { Finding } from '@hibiscusledge/runtime/finding.js'
import { Err, type Result } from 'ts-results'
import type { TableSet, TableTexts } from './table-set.js'

/** Parses and checks both tables. All findings are reported together. */
export function parseTables (_texts: TableTexts, _revision: number): Result<TableSet, readonly Finding[]> {
  return Err([{ code: 'notImplemented', place: 'tables', message: 'the parser is not implemented yet' }])
}
