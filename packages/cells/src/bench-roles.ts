import { BENCH_CUSTOMER } from './bench-tables.js'
import { Caller } from './caller.js'
import { Cell, readJson } from './cell.js'
import { CellMeter } from './cell-meter.js'
import { generateClosedLoopLoad, type RequestStream } from './load-generator.js'

export const ROLE_COLUMNS = [
  'requests', 'requests/s', 'busiest %', 'meter %', 'entry CPU ms', 'home CPU ms', 'shard CPU ms', 'all CPU ms', 'peer bytes', 'store writes', 'store reads'
] as const

const POOLS = `pool,targets,failureDomains,racks,labels,slots,connections,maxQueueMsUrgent,maxQueueMsHigh,maxQueueMsNormal,maxQueueMsLow,floorUrgentPercent,floorHighPercent,floorNormalPercent,floorLowPercent,limitUrgentPercent,limitHighPercent,limitNormalPercent,limitLowPercent,teamQuotas
executors,executor,,,,8,64,10000,10000,10000,10000,,,,,,,,,
workers,worker,,,,,,10000,10000,10000,10000,,,,,,,,,
`
const ROUTES = `kind,customer,team,pool,urgency,cores,memoryMb,accelerators,tasks,idempotent,exclusive,resumable,service,runtimeMs,deadlineMs,retryLimit
enquiry,,,executors,normal,,,,,yes,,,,,30000,2
posting,,,executors,normal,,,,,no,,,,,30000,0
sanitation,,,workers,normal,0.1,64,,,no,yes,,,,30000,0
`
const FAILURE_DOMAIN = 'bilbao'
/** 16 partitions, and in each failure domain one shard of executors and one of workers. */
const UNIT_COUNT = 16 + 2
const CONCURRENCY = 128
const WARM_UP_SECONDS = 4
const CASES = [
  { name: 'idempotent, executor', kind: 'enquiry', shard: `executor/${FAILURE_DOMAIN}` },
  { name: 'non-idempotent, executor', kind: 'posting', shard: `executor/${FAILURE_DOMAIN}` },
  { name: 'exclusive, worker', kind: 'sanitation', shard: `worker/${FAILURE_DOMAIN}` }
] as const

interface UnitOwnership { readonly unit: string, readonly owner: string }

/**
 * Measures the costs of the roles of an instance: entry instance, coordinator and shard owner. All requests go through one
 * entry instance to one shard. Coordinators are spread over all instances, so an instance that is neither the entry instance
 * nor the owner of the shard spends its CPU time as a coordinator, and the costs of the other two roles follow by subtraction.
 */
export async function measureRoles (seed: number, seconds: number, instances: number): Promise<string[][]> {
  const cell = new Cell({
    instances,
    failureDomains: [FAILURE_DOMAIN],
    seed,
    instanceFlags: ['--log-level', 'warn'],
    groups: [
      { kind: 'executor', idPrefix: 'executor', count: 8, failureDomains: [FAILURE_DOMAIN], rackSize: 8, serviceMs: ['default=5:0.3'] },
      { kind: 'worker', idPrefix: 'worker', count: 8, failureDomains: [FAILURE_DOMAIN], rackSize: 8, serviceMs: ['default=5:0.3'] }
    ]
  })
  process.once('SIGTERM', () => { void cell.stop().then(() => process.exit(1)) })
  try {
    await cell.start()
    await cell.applyTables({ routes: ROUTES, pools: POOLS })
    await cell.waitForOwners(UNIT_COUNT)
    const rows: string[][] = []
    for (const { name, kind, shard } of CASES) rows.push([name, ...await measureCase(cell, kind, shard, seconds)])
    return rows
  } finally {
    await cell.stop()
  }
}

async function measureCase (cell: Cell, kind: string, shard: string, seconds: number): Promise<string[]> {
  const { units } = await readJson(`${cell.instances[0]?.origin ?? ''}/v1/status`) as { units: UnitOwnership[] }
  const owner = units.find(({ unit }) => unit === shard)?.owner ?? ''
  const countPartitions = (id: string): number => units.filter((unit) => unit.owner === id && unit.unit.startsWith('partition/')).length
  const entryInstance = cell.instances.find(({ id }) => id !== owner)
  if (entryInstance === undefined) throw new Error('no instance is left that does not own the shard')
  const caller = new Caller(() => [entryInstance])
  const stream: RequestStream = { kind, customer: BENCH_CUSTOMER, isKeyed: true, ratePerSecond: 0 }
  await generateClosedLoopLoad(caller, stream, CONCURRENCY, WARM_UP_SECONDS)
  const meter = new CellMeter(cell)
  await meter.start()
  const records = await generateClosedLoopLoad(caller, stream, CONCURRENCY, seconds)
  const usage = await meter.finish()
  await caller.close()
  const completed = records.filter(({ outcome }) => outcome === 'completed').length
  const formatPerRequest = (value: number): string => (value / completed).toFixed(2)
  const readCpu = (id: string): number => usage.cpuMs.get(id) ?? 0
  const coordinators = cell.instances.filter(({ id }) => id !== owner && id !== entryInstance.id)
  // CPU time of coordinating all 16 partitions.
  const coordinatorMs = coordinators.reduce((sum, { id }) => sum + readCpu(id), 0) /
    coordinators.reduce((sum, { id }) => sum + countPartitions(id) / 16, 0)
  const [entryMs, shardMs] = [entryInstance.id, owner].map((id) => readCpu(id) - coordinatorMs * countPartitions(id) / 16)
  const allMs = cell.instances.reduce((sum, { id }) => sum + readCpu(id), 0)
  const busiestMs = Math.max(...cell.instances.map(({ id }) => readCpu(id)))
  return [
    (completed / usage.seconds).toFixed(0), (busiestMs / usage.seconds / 10).toFixed(0), (readCpu('meter') / usage.seconds / 10).toFixed(0),
    formatPerRequest(entryMs ?? 0), formatPerRequest(coordinatorMs), formatPerRequest(shardMs ?? 0), formatPerRequest(allMs),
    (usage.peerBytes / completed).toFixed(0), (usage.storeWrites / completed).toFixed(3), (usage.storeReads / completed).toFixed(3)
  ]
}
