import type { PoolPolicy } from '@hibiscusledge/scheduling/pool-policy.js'
import type { Route } from './route.js'

/** The two tables as text, as operators write them and as the store keeps them. */
export interface TableTexts {
  readonly routes: string
  readonly pools: string
}

/** Both tables of one revision, checked. */
export interface TableSet {
  /** The store's modification revision; a greater one replaces a smaller one, never the other way round. */
  readonly revision: number
  /** SHA-256 of the texts, in hexadecimal. */
  readonly hash: string
  readonly texts: TableTexts
  readonly routes: readonly Route[]
  readonly pools: readonly PoolPolicy[]
}
