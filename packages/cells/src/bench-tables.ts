export const BENCH_FAILURE_DOMAINS = ['bilbao', 'oviedo'] as const
/** 16 partitions, and in each failure domain one shard of executors and one of workers. */
export const BENCH_UNIT_COUNT = 16 + 2 * BENCH_FAILURE_DOMAINS.length
export const BENCH_CUSTOMER = 'descanso'

export interface BenchKind {
  readonly kind: string
  readonly urgency: 'urgent' | 'high' | 'normal' | 'low'
  readonly pool: 'executors' | 'workers'
  readonly isIdempotent: boolean
  /** Ordinary load: a fraction of the executors' capacity, or requests per second for kinds on workers. */
  readonly weight: number
}

export const BENCH_KINDS: readonly BenchKind[] = [
  { kind: 'readiness-check', urgency: 'urgent', pool: 'executors', isIdempotent: true, weight: 0.2 },
  { kind: 'dues-posting', urgency: 'high', pool: 'executors', isIdempotent: false, weight: 0.1 },
  { kind: 'enquiry', urgency: 'normal', pool: 'executors', isIdempotent: true, weight: 0.03 },
  { kind: 'supply-reorder', urgency: 'low', pool: 'executors', isIdempotent: true, weight: 0.03 },
  { kind: 'deep-sanitation', urgency: 'high', pool: 'workers', isIdempotent: false, weight: 4 }
]

const ROUTE_HEADER = 'kind,customer,team,pool,urgency,cores,memoryMb,accelerators,tasks,idempotent,exclusive,resumable,service,runtimeMs,deadlineMs,retryLimit'
const POOL_HEADER = 'pool,targets,failureDomains,racks,labels,slots,connections,maxQueueMsUrgent,maxQueueMsHigh,maxQueueMsNormal,maxQueueMsLow,' +
  'floorUrgentPercent,floorHighPercent,floorNormalPercent,floorLowPercent,limitUrgentPercent,limitHighPercent,limitNormalPercent,limitLowPercent,teamQuotas'

/** Builds the routes; the baseline puts all kinds into one urgency class. */
export function buildRoutes (isBaseline: boolean): string {
  const rows = BENCH_KINDS.map(({ kind, urgency, pool, isIdempotent }) => {
    const [cores, memoryMb, exclusive] = pool === 'workers' ? ['1', '1024', 'yes'] : ['', '', '']
    const retries = isIdempotent ? '2' : '0'
    return `${kind},,,${pool},${isBaseline ? 'normal' : urgency},${cores},${memoryMb},,,${isIdempotent ? 'yes' : 'no'},${exclusive},,,,10000,${retries}`
  })
  return [ROUTE_HEADER, ...rows, ''].join('\n')
}

/** Builds the pools; the baseline has no floors and limits. */
export function buildPools (isBaseline: boolean): string {
  const floorsAndLimits = isBaseline ? ',,,,,,,' : '40,30,5,5,80,80,50,50'
  return [POOL_HEADER, `executors,executor,,,,8,64,1500,2000,2000,2000,${floorsAndLimits},`, `workers,worker,,,,,,1500,8000,2000,2000,${floorsAndLimits},`, ''].join('\n')
}
