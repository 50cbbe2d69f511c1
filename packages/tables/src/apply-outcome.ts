import type { Finding } from '@hibiscusledge/runtime/finding.js'

/** Who changed the tables, for showing both sides of a conflict. */
export interface TableConflict {
  /** 0 when there are no tables in the store. */
  readonly currentRevision: number
  readonly currentAuthor: string
  readonly currentAppliedAt: string
  readonly expectedRevision: number
  readonly author: string
}

/** What became of a change of the tables. */
export type ApplyOutcome =
  | { readonly type: 'accepted', readonly revision: number, readonly hash: string }
  /** Refused: another revision than the expected one is current. */
  | { readonly type: 'conflict', readonly conflict: TableConflict }
  /** Refused: the tables have findings. */
  | { readonly type: 'invalid', readonly findings: readonly Finding[] }
  /** Refused: the encoded value is over the store's limit. */
  | { readonly type: 'tooLarge', readonly byteCount: number, readonly limitBytes: number }
  /** Provably not accepted, because the store could not be used. */
  | { readonly type: 'notApplied', readonly reason: string }
  /** May have been accepted. */
  | { readonly type: 'unknown', readonly reason: string }
