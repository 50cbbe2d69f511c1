import { createHash } from 'node:crypto'
import type { TableSources } from './table-set.js'

/** Returns the SHA-256 of both texts in hexadecimal. JSON distinguishes pairs of texts whose concatenations are equal. */
export function hashTables (texts: TableSources): string {
  return createHash('sha256').update(JSON.stringify([texts.routes, texts.pools])).digest('hex')
}
