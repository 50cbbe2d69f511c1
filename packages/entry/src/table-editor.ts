import type { Finding } from '@hibiscusledge/runtime/finding.js'
import type { TableSources } from '@hibiscusledge/tables/table-set.js'

/** Result of an operator's change to the tables. */
export type TableEditResult =
  | { readonly type: 'accepted', readonly revision: number, readonly hash: string }
  | { readonly type: 'invalid', readonly findings: readonly Finding[] }
  /** Another change was accepted after the revision that this one is based on. */
  | {
    readonly type: 'conflict'
    readonly currentRevision: number
    readonly currentAuthor: string
    /** ISO 8601, UTC. */
    readonly currentAppliedAt: string
    readonly expectedRevision: number
    readonly author: string
  }
  /** Certainly not accepted, because the store was not available. */
  | { readonly type: 'notApplied', readonly reason: string }
  /** The store did not confirm whether the change was accepted. */
  | { readonly type: 'unknown', readonly reason: string }

/** Applies an operator's changes to the tables. */
export interface TableEditor {
  /** Replaces both tables. `expectedRevision` is the revision that the change is based on, or 0 when no tables exist yet. */
  applyTables (texts: TableSources, expectedRevision: number, author: string): Promise<TableEditResult>
}
