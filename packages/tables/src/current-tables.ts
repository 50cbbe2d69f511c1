import type { TableSet } from './table-set.js'

/** The tables in force on this instance. */
export interface CurrentTables {
  /** Undefined until the first revision has arrived. */
  readCurrent (): TableSet | undefined
  /** Calls `listener` after a newer revision has come into force. */
  subscribe (listener: (tables: TableSet) => void): void
}
