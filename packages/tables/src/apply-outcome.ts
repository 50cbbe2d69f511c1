import type { Finding } from '@hibiscusledge/runtime/finding.js'

/** Both sides of a conflict: the current tables and the change that was refused. */
export interface TableConflict {
  /** 0 when the store has no tables. */
  readonly currentRevision: number
  readonly currentAuthor: string
  readonly currentAppliedAt: string
  readonly expectedRevision: number
  readonly author: string
}

/** The outcome of a change of the tables. */
export type ApplyOutcome =
  | { readonly type: 'accepted', readonly revision: number, readonly hash: string }
  /** Refused, because the current revision is not the expected one. */
  | { readonly type: 'conflict', readonly conflict: TableConflict }
  /** Refused, because the tables have findings. */
  | { readonly type: 'invalid', readonly findings: readonly Finding[] }
  /** Refused, because the encoded value is over the store's size limit. */
  | { readonly type: 'tooLarge', readonly byteCount: number, readonly limitBytes: number }
  /** Certainly not accepted, because the store could not be used. */
  | { readonly type: 'notApplied', readonly reason: string }
  /** May have been accepted. */
  | { readonly type: 'unknown', readonly reason: string }
