import { z } from 'zod'
import type { TableSources } from './table-set.js'

/** The store key of both tables. They are one value, so that a change is atomic. */
export const TABLES_KEY = 'hl/tables'

/** The store refuses larger values. */
export const MAX_STORED_TABLES_BYTES = 1_048_576

const STORED_TABLES = z.object({
  routes: z.string(),
  pools: z.string(),
  nonce: z.string(),
  author: z.string(),
  appliedAt: z.string()
})

/** The value of {@link TABLES_KEY}. */
export interface StoredTables extends TableSources {
  /** Identifies one attempt to change the tables, so that it can be recognized after a lost response. */
  readonly nonce: string
  readonly author: string
  /** Time of the attempt in UTC, as ISO 8601. For display only. */
  readonly appliedAt: string
}

export function encodeStoredTables (stored: StoredTables): string {
  return JSON.stringify(stored)
}

/** Parses a stored value. Returns undefined when it is malformed. Ignores unknown fields, which newer versions may write. */
export function parseStoredTables (value: string): StoredTables | undefined {
  try {
    const parsed = STORED_TABLES.safeParse(JSON.parse(value))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}
