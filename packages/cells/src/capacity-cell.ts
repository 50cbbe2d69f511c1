import { Cell, type TargetGroup } from './cell.js'

export const CAPACITY_CUSTOMER = 'harambee'
export const CAPACITY_ROUTES = `kind,customer,team,pool,urgency,cores,memoryMb,accelerators,tasks,idempotent,exclusive,resumable,service,runtimeMs,deadlineMs,retryLimit
enquiry,,,executors,normal,,,,,yes,,,,,30000,2
posting,,,executors,normal,,,,,no,,,,,30000,0
reconciliation,,,workers,normal,0.1,64,,,yes,yes,,,,600000,2
`
export const CAPACITY_POOLS = `pool,targets,failureDomains,racks,labels,slots,connections,maxQueueMsUrgent,maxQueueMsHigh,maxQueueMsNormal,maxQueueMsLow,floorUrgentPercent,floorHighPercent,floorNormalPercent,floorLowPercent,limitUrgentPercent,limitHighPercent,limitNormalPercent,limitLowPercent,teamQuotas
executors,executor,,,,8,64,10000,10000,10000,10000,,,,,,,,,
workers,worker,,,,,,60000,60000,60000,60000,,,,,,,,,
`
const PARTITION_COUNT = 16

export interface CapacityCellOptions {
  readonly instances: number
  readonly seed: number
  readonly executors?: number
  readonly workers?: number
  /** Run time of each task on a worker. */
  readonly taskMs?: number
  readonly failureDomains?: readonly string[]
}

/** Starts a cell, waits until its tables are applied and every unit has an owner, runs a measurement in it and stops it. */
export async function runInCapacityCell<Result> (options: CapacityCellOptions, measure: (cell: Cell) => Promise<Result>): Promise<Result> {
  const { instances, seed, executors = 2, workers = 2, taskMs = 500, failureDomains = ['bilbao'] } = options
  const groups: TargetGroup[] = [
    { kind: 'executor', idPrefix: 'executor', count: executors, failureDomains, rackSize: 8, serviceMs: ['default=10:0.3'] },
    { kind: 'worker', idPrefix: 'worker', count: workers, failureDomains, rackSize: 8, serviceMs: [`default=${taskMs}:0`] }
  ]
  const cell = new Cell({ groups, instances, failureDomains, seed, instanceFlags: ['--log-level', 'info'] })
  process.once('SIGTERM', () => { void cell.stop().then(() => process.exit(1)) })
  try {
    await cell.start()
    await cell.applyTables({ routes: CAPACITY_ROUTES, pools: CAPACITY_POOLS })
    // In each failure domain there is one shard of executors and one of workers.
    await cell.waitForOwners(PARTITION_COUNT + 2 * failureDomains.length)
    return await measure(cell)
  } finally {
    await cell.stop()
  }
}

export async function waitMs (durationMs: number): Promise<void> {
  await new Promise<void>((resolve) => { setTimeout(resolve, durationMs) })
}
