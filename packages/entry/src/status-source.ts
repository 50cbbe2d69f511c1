import type { PoolLoad } from '@hibiscusledge/scheduling/shard-scheduler.js'

export interface MemberStatus {
  readonly instance: string
  readonly incarnation: string
  readonly failureDomain: string
  readonly isDraining: boolean
  readonly isConnected: boolean
}

export interface UnitStatus {
  readonly unit: string
  readonly owner: string
  readonly epoch: number
}

export interface ShardLoadStatus {
  readonly unit: string
  readonly pools: readonly PoolLoad[]
}

export interface StoreStatus {
  readonly isAvailable: boolean
  /** Milliseconds since the store last answered; null before its first answer. */
  readonly lastAnswerAgeMs: number | null
}

/** The cluster as this instance sees it, for `GET /v1/status`. */
export interface ClusterStatus {
  readonly incarnation: string
  readonly members: readonly MemberStatus[]
  readonly units: readonly UnitStatus[]
  readonly loads: readonly ShardLoadStatus[]
  readonly store: StoreStatus
}

/** Reports the cluster as this instance sees it. Reads memory only, so that it answers during outages. */
export interface StatusSource {
  readStatus (): ClusterStatus
}
