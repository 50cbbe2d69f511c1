/** Columns of `routes.csv` in documented order. */
export const ROUTE_COLUMNS = [
  'kind', 'customer', 'team', 'pool', 'urgency', 'cores', 'memoryMb', 'accelerators', 'tasks', 'idempotent', 'exclusive', 'resumable',
  'service', 'runtimeMs', 'deadlineMs', 'retryLimit'
] as const

export type RouteColumn = typeof ROUTE_COLUMNS[number]

/** Columns of `pools.csv` in documented order. */
export const POOL_COLUMNS = [
  'pool', 'targets', 'failureDomains', 'racks', 'labels', 'slots', 'connections',
  'maxQueueMsUrgent', 'maxQueueMsHigh', 'maxQueueMsNormal', 'maxQueueMsLow',
  'floorUrgentPercent', 'floorHighPercent', 'floorNormalPercent', 'floorLowPercent',
  'limitUrgentPercent', 'limitHighPercent', 'limitNormalPercent', 'limitLowPercent',
  'teamQuotas'
] as const

export type PoolColumn = typeof POOL_COLUMNS[number]

/** The three columns of one urgency class in `pools.csv`. */
export interface ClassColumns {
  readonly maxQueueMs: PoolColumn
  readonly floorPercent: PoolColumn
  readonly limitPercent: PoolColumn
}

export const CLASS_COLUMNS = {
  urgent: { maxQueueMs: 'maxQueueMsUrgent', floorPercent: 'floorUrgentPercent', limitPercent: 'limitUrgentPercent' },
  high: { maxQueueMs: 'maxQueueMsHigh', floorPercent: 'floorHighPercent', limitPercent: 'limitHighPercent' },
  normal: { maxQueueMs: 'maxQueueMsNormal', floorPercent: 'floorNormalPercent', limitPercent: 'limitNormalPercent' },
  low: { maxQueueMs: 'maxQueueMsLow', floorPercent: 'floorLowPercent', limitPercent: 'limitLowPercent' }
} as const satisfies Record<string, ClassColumns>
