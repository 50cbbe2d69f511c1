import { z } from 'zod'
import type { TableTexts } from './table-set.js'

/** Key of the store under which both tables are kept as one value, so that a change is atomic. */
export const TABLES_KEY = 'hl/tables'

/** The store refuses greater values. */
export const MAX_STORED_TABLES_BYTES = 1_048_576

const STORED_TABLES = z.object({
  routes: z.string(),
  pools: z.string(),
  nonce: z.string(),
  author: z.string(),
  appliedAt: z.string()
})

/** The value of {@link TABLES_KEY}. */
export interface StoredTables extends TableTexts {
  /** Identifies one attempt to apply, so that its author can recognize it after a lost reply. */
  readonly nonce: string
  readonly author: string
  /** Time of the attempt, ISO 8601 in UTC. For display only. */
  readonly appliedAt: string
}

export function encodeStoredTables (stored: StoredTables): string {
  return JSON.stringify(stored)
}

/** Checks the shape of a stored value. Undefined when it is not one. Unknown fields are ignored, for newer writers. */
export function parseStoredTables (value: string): StoredTables | undefined {
  try {
    const parsed = STORED_TABLES.safeParse(JSON.parse(value))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}
