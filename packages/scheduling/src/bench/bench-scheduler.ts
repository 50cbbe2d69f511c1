import type { ShardScheduler } from '../shard-scheduler.js'

/** The methods of a scheduler that the benchmarks use, so that the baseline runs in the same loop. */
export type BenchScheduler = Pick<ShardScheduler, 'admit' | 'schedule' | 'releaseTask'>
