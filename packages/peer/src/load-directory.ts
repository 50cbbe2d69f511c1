import type { UnitId } from '@hibiscusledge/runtime/identifiers.js'
import type { PoolLoad } from '@hibiscusledge/scheduling/shard-scheduler.js'

/** Load of one target shard as its owner reports it in heartbeats. */
export interface ShardLoad {
  readonly unit: UnitId
  readonly epoch: number
  readonly pools: readonly PoolLoad[]
}

/** Loads of all shards as known here. */
export interface LoadDirectory {
  /** Sets what this instance reports about the shards that it owns. */
  setLocalLoadProvider (provider: () => readonly ShardLoad[]): void
  /** The newest report on a shard, own shards included; undefined when none is younger than 3 s. */
  findLoad (unit: UnitId): ShardLoad | undefined
}
