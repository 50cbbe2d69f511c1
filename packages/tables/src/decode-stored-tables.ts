import type { Finding } from '@hibiscusledge/runtime/finding.js'
import { Err, type Result } from '@hibiscusledge/runtime/result.js'
import { parseTables } from './parse-tables.js'
import { parseStoredTables, TABLES_KEY } from './stored-tables.js'
import { TABLE_PROBLEMS } from './table-messages.js'
import type { TableSet } from './table-set.js'

/** Decodes and checks the value of {@link TABLES_KEY}. `revision` is the modification revision of the key. */
export function decodeStoredTables (value: string, revision: number): Result<TableSet, readonly Finding[]> {
  const stored = parseStoredTables(value)
  if (stored !== undefined) return parseTables({ routes: stored.routes, pools: stored.pools }, revision)
  return new Err([{ ...TABLE_PROBLEMS.storedValue('not a JSON object with routes, pools, nonce, author and appliedAt'), place: TABLES_KEY }])
}
