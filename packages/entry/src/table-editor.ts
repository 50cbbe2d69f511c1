import type { Finding } from '@hibiscusledge/runtime/finding.js'
import type { TableTexts } from '@hibiscusledge/tables/table-set.js'

/** What became of an operator's change of the tables. */
export type TableEditResult =
  | { readonly type: 'accepted', readonly revision: number, readonly hash: string }
  | { readonly type: 'invalid', readonly findings: readonly Finding[] }
  /** Another change was accepted since the revision that this one started from. */
  | {
    readonly type: 'conflict'
    readonly currentRevision: number
    readonly currentAuthor: string
    /** ISO 8601, UTC. */
    readonly currentAppliedAt: string
    readonly expectedRevision: number
    readonly author: string
  }
  /** Provably not accepted, because the store could not be used. */
  | { readonly type: 'notApplied', readonly reason: string }
  /** The store didn't tell whether the change was accepted. */
  | { readonly type: 'unknown', readonly reason: string }

/** Applies an operator's change of both tables. */
export interface TableEditor {
  /** `expectedRevision` is the revision that the change started from; 0 when there are no tables yet. */
  applyTables (texts: TableTexts, expectedRevision: number, author: string): Promise<TableEditResult>
}
