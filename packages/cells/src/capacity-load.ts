import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import { request } from 'undici'
import { Caller } from './caller.js'
import { CAPACITY_CUSTOMER, CAPACITY_POOLS, CAPACITY_ROUTES, runInCapacityCell, waitMs } from './capacity-cell.js'
import { measureIdle } from './capacity-idle.js'
import { CellMeter, sumInstanceCpuMs } from './cell-meter.js'
import { readJson, sendJson } from './cell.js'
import { generateOpenLoopLoad } from './load-generator.js'
import type { HeapMeter } from './process-meter.js'
import { waitUntil } from './wait-until.js'

export const RATE_COLUMNS = [
  'kind', 'requests/s', 'completed', 'CPU ms/request', 'peer bytes/request', 'store writes/s', 'store reads/s', 'store bytes/request', 'heap KB/request'
] as const
const REQUEST_KINDS = ['enquiry', 'posting', 'reconciliation'] as const
const INSTANCES = 4
const WAIT_TIMEOUT_MS = 60_000

/** Measures the cost per request at several rates, less the idle costs, and the heap that finished requests occupy. */
export async function measureRates (rates: readonly number[], seed: number, seconds: number, heapMeter: HeapMeter): Promise<string[][]> {
  const rows: string[][] = []
  for (const kind of REQUEST_KINDS) {
    await runInCapacityCell({ instances: INSTANCES, seed, executors: 8, workers: 8, taskMs: 50 }, async (cell) => {
      const random = new SeededRandomSource(seed)
      const caller = new Caller(() => cell.instances)
      const stream = { kind, customer: CAPACITY_CUSTOMER, isKeyed: true }
      await generateOpenLoopLoad(caller, [{ ...stream, ratePerSecond: 100 }], 4, random)
      const idleMeter = new CellMeter(cell)
      await idleMeter.start()
      await waitMs(seconds * 1000)
      const idle = await idleMeter.finish()
      for (const ratePerSecond of rates) {
        const heapBeforeMb = await sumHeapMb(cell.instances.map(({ process }) => process.pid), heapMeter)
        const meter = new CellMeter(cell)
        await meter.start()
        const records = await generateOpenLoopLoad(caller, [{ ...stream, ratePerSecond }], seconds, random)
        const usage = await meter.finish()
        const heapAfterMb = await sumHeapMb(cell.instances.map(({ process }) => process.pid), heapMeter)
        const completed = records.filter(({ outcome }) => outcome === 'completed').length
        // The idle costs are measured over another length of time.
        const subtractIdle = (value: number, idleValue: number): number => value - idleValue * usage.seconds / idle.seconds
        rows.push([
          kind, String(ratePerSecond), String(completed),
          (subtractIdle(sumInstanceCpuMs(usage), sumInstanceCpuMs(idle)) / completed).toFixed(2),
          (subtractIdle(usage.peerBytes, idle.peerBytes) / completed).toFixed(0), (usage.storeWrites / usage.seconds).toFixed(1),
          (usage.storeReads / usage.seconds).toFixed(1), (subtractIdle(usage.storeBytes, idle.storeBytes) / completed).toFixed(0),
          ((heapAfterMb - heapBeforeMb) * 1024 / completed).toFixed(2)
        ])
      }
      await caller.close()
    })
  }
  return rows
}

/** Measures the costs of running tasks while the cell is otherwise idle: leases, renewals and the state of each task. */
export async function measureTasks (counts: readonly number[], seed: number, seconds: number, heapMeter: HeapMeter): Promise<string[][]> {
  const rows: string[][] = []
  for (const count of counts) {
    rows.push(await runInCapacityCell({ instances: INSTANCES, seed, workers: 8, taskMs: 300_000 }, async (cell) => {
      for (let index = 0; index < count; index++) {
        const body = JSON.stringify({ kind: 'reconciliation', customer: CAPACITY_CUSTOMER, payload: { index } })
        const origin = cell.instances[index % INSTANCES]?.origin ?? ''
        await submitWithoutWait(`${origin}/v1/requests?wait=0`, body)
      }
      await waitUntil(async () => (await cell.readTaskRecords()).records.length >= count, WAIT_TIMEOUT_MS, `${count} tasks to start`)
      return [`${count} tasks`, ...await measureIdle(cell, seconds, heapMeter)]
    }))
  }
  return rows
}

export const TABLE_COLUMNS = ['changes/s', 'accepted', 'in force p50 ms', 'in force max ms', 'CPU ms/change of all', 'store writes/change', 'store reads/change'] as const

/** Makes table changes one after the other and measures the time until every instance has applied each. */
export async function measureTableChanges (count: number, seed: number): Promise<string[][]> {
  return await runInCapacityCell({ instances: INSTANCES, seed }, async (cell) => {
    const origins = cell.instances.map(({ origin }) => origin)
    const readRevision = async (origin: string): Promise<number> => (await readJson(`${origin}/v1/tables`) as { revision: number }).revision
    const delaysMs: number[] = []
    await waitMs(3000)
    const meter = new CellMeter(cell)
    await meter.start()
    for (let index = 0; index < count; index++) {
      const expectedRevision = await readRevision(origins[0] ?? '')
      const startMs = performance.now()
      const routes = CAPACITY_ROUTES.replace('30000,2', `${30_000 + index},2`)
      const response = await sendJson('PUT', `${origins[index % INSTANCES] ?? ''}/v1/tables`, JSON.stringify({ routes, pools: CAPACITY_POOLS, expectedRevision, author: 'capacity' }))
      if (response?.status !== 200) continue
      const { revision } = response.body as { revision: number }
      await waitUntil(async () => (await Promise.all(origins.map(readRevision))).every((current) => current >= revision), WAIT_TIMEOUT_MS, `revision ${revision} on all instances`)
      delaysMs.push(performance.now() - startMs)
    }
    const usage = await meter.finish()
    const sorted = delaysMs.toSorted((left, right) => left - right)
    return [[
      (count / usage.seconds).toFixed(1), `${delaysMs.length} of ${count}`, (sorted[Math.floor(sorted.length / 2)] ?? 0).toFixed(0), (sorted.at(-1) ?? 0).toFixed(0),
      (sumInstanceCpuMs(usage) / count).toFixed(1), (usage.storeWrites / count).toFixed(2), (usage.storeReads / count).toFixed(2)
    ]]
  })
}

async function submitWithoutWait (url: string, body: string): Promise<void> {
  const response = await request(url, { method: 'POST', body, headers: { 'content-type': 'application/json', 'idempotency-key': `task-${nextKey++}` } })
  await response.body.dump()
  if (response.statusCode !== 202) throw new Error(`expected status 202 for a task, got ${response.statusCode}`)
}

let nextKey = 0

async function sumHeapMb (pids: readonly number[], heapMeter: HeapMeter): Promise<number> {
  const readings = await Promise.all(pids.map((pid) => heapMeter.readHeap(pid)))
  return readings.reduce((sum, { heapUsedMb }) => sum + heapUsedMb, 0)
}
