import type { ShardScheduler } from '../shard-scheduler.js'

/** What the bench needs of a scheduler, so that the baseline runs in the same loop. */
export type BenchScheduler = Pick<ShardScheduler, 'admit' | 'schedule' | 'releaseTask'>
