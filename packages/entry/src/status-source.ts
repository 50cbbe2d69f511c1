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
  /** Milliseconds since the last response of the store; null before the first one. */
  readonly lastAnswerAgeMs: number | null
}

/** State of the cluster as this instance knows it, for `GET /v1/status`. */
export interface ClusterStatus {
  readonly incarnation: string
  readonly members: readonly MemberStatus[]
  readonly units: readonly UnitStatus[]
  readonly loads: readonly ShardLoadStatus[]
  readonly store: StoreStatus
}

/** Provides the state of the cluster as this instance knows it. Reads only memory, so it works while the store or peers are unreachable. */
export interface StatusSource {
  readStatus (): ClusterStatus
}
