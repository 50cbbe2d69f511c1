import { createHash } from 'node:crypto'
import type { TableTexts } from './table-set.js'

/** Returns the SHA-256 of both texts in hexadecimal. JSON distinguishes pairs of texts whose concatenations are equal. */
export function hashTables (texts: TableTexts): string {
  return createHash('sha256').update(JSON.stringify([texts.routes, texts.pools])).digest('hex')
}
