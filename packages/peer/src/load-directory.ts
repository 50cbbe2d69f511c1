import type { UnitId } from '@hibiscusledge/runtime/identifiers.js'
import type { PoolLoad } from '@hibiscusledge/scheduling/shard-scheduler.js'

/** Load of one target shard as its owner reports it in heartbeats. */
export interface ShardLoad {
  readonly unit: UnitId
  readonly epoch: number
  readonly pools: readonly PoolLoad[]
}

/** Known loads of all target shards. */
export interface LoadDirectory {
  /** Sets the function that returns the loads of the shards that this instance owns. */
  setLocalLoadProvider (provider: () => readonly ShardLoad[]): void
  /** Returns the newest load of a shard, own shards included; undefined when no report of the last 3 s exists. */
  findLoad (unit: UnitId): ShardLoad | undefined
}
