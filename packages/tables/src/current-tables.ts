import type { TableSet } from './table-set.js'

/** The tables that this instance uses. */
export interface CurrentTables {
  /** Returns undefined until the first revision has been received. */
  readCurrent (): TableSet | undefined
  /** Calls `listener` whenever a newer revision has replaced the current one. */
  subscribe (listener: (tables: TableSet) => void): void
}
