import type { PoolPolicy } from '@hibiscusledge/scheduling/pool-policy.js'
import type { Route } from './route.js'

/** Both tables as CSV texts, as operators write them and as they are stored. */
export interface TableSources {
  readonly routes: string
  readonly pools: string
}

/** Both tables of one revision, parsed and checked. */
export interface TableSet {
  /** Modification revision of the key in the store. Tables are only replaced by those of a greater revision. */
  readonly revision: number
  /** SHA-256 of the texts in hexadecimal. */
  readonly hash: string
  readonly texts: TableSources
  readonly routes: readonly Route[]
  readonly pools: readonly PoolPolicy[]
}
