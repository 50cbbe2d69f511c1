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
const KINDS = ['enquiry', 'posting', 'reconciliation'] as const
const INSTANCES = 4
const WAIT_TIMEOUT_MS = 60_000

/** Costs per request at several rates, above the idle costs, and the heap that ended requests keep. */
export async function measureRates (rates: readonly number[], seed: number, seconds: number, heaps: HeapMeter): Promise<string[][]> {
  const rows: string[][] = []
  for (const kind of KINDS) {
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
        const heapBefore = await sumHeapMb(cell.instances.map(({ process }) => process.pid), heaps)
        const meter = new CellMeter(cell)
        await meter.start()
        const records = await generateOpenLoopLoad(caller, [{ ...stream, ratePerSecond }], seconds, random)
        const use = await meter.finish()
        const heapAfter = await sumHeapMb(cell.instances.map(({ process }) => process.pid), heaps)
        const completed = records.filter(({ outcome }) => outcome === 'completed').length
        const over = (value: number, idleValue: number): number => value - idleValue * use.seconds / idle.seconds
        rows.push([
          kind, String(ratePerSecond), String(completed), (over(sumInstanceCpuMs(use), sumInstanceCpuMs(idle)) / completed).toFixed(2),
          (over(use.peerBytes, idle.peerBytes) / completed).toFixed(0), (use.storeWrites / use.seconds).toFixed(1),
          (use.storeReads / use.seconds).toFixed(1), (over(use.storeBytes, idle.storeBytes) / completed).toFixed(0),
          ((heapAfter - heapBefore) * 1024 / completed).toFixed(2)
        ])
      }
      await caller.close()
    })
  }
  return rows
}

/** Costs while tasks run and do nothing else: leases, renewals and the state kept for each. */
export async function measureTasks (counts: readonly number[], seed: number, seconds: number, heaps: HeapMeter): Promise<string[][]> {
  const rows: string[][] = []
  for (const count of counts) {
    rows.push(await runInCapacityCell({ instances: INSTANCES, seed, workers: 8, taskMs: 300_000 }, async (cell) => {
      for (let index = 0; index < count; index++) {
        const body = JSON.stringify({ kind: 'reconciliation', customer: CAPACITY_CUSTOMER, payload: { index } })
        const origin = cell.instances[index % INSTANCES]?.origin ?? ''
        await submitWithoutWait(`${origin}/v1/requests?wait=0`, body)
      }
      await waitUntil(async () => (await cell.readTaskUses()).uses.length >= count, WAIT_TIMEOUT_MS, `${count} tasks to run`)
      return [`${count} tasks`, ...await measureIdle(cell, seconds, heaps)]
    }))
  }
  return rows
}

export const TABLE_COLUMNS = ['changes/s', 'accepted', 'in force p50 ms', 'in force max ms', 'CPU ms/change of all', 'store writes/change', 'store reads/change'] as const

/** Table changes one after the other, each timed until every instance has it. */
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
      const answer = await sendJson('PUT', `${origins[index % INSTANCES] ?? ''}/v1/tables`, JSON.stringify({ routes, pools: CAPACITY_POOLS, expectedRevision, author: 'capacity' }))
      if (answer?.status !== 200) continue
      const { revision } = answer.body as { revision: number }
      await waitUntil(async () => (await Promise.all(origins.map(readRevision))).every((current) => current >= revision), WAIT_TIMEOUT_MS, `revision ${revision} everywhere`)
      delaysMs.push(performance.now() - startMs)
    }
    const use = await meter.finish()
    const sorted = delaysMs.toSorted((left, right) => left - right)
    return [[
      (count / use.seconds).toFixed(1), `${delaysMs.length} of ${count}`, (sorted[Math.floor(sorted.length / 2)] ?? 0).toFixed(0), (sorted.at(-1) ?? 0).toFixed(0),
      (sumInstanceCpuMs(use) / count).toFixed(1), (use.storeWrites / count).toFixed(2), (use.storeReads / count).toFixed(2)
    ]]
  })
}

async function submitWithoutWait (url: string, body: string): Promise<void> {
  const answer = await request(url, { method: 'POST', body, headers: { 'content-type': 'application/json', 'idempotency-key': `task-${nextKey++}` } })
  await answer.body.dump()
  if (answer.statusCode !== 202) throw new Error(`a task was answered ${answer.statusCode}`)
}

let nextKey = 0

async function sumHeapMb (pids: readonly number[], heaps: HeapMeter): Promise<number> {
  const readings = await Promise.all(pids.map((pid) => heaps.readHeap(pid)))
  return readings.reduce((sum, { heapUsedMb }) => sum + heapUsedMb, 0)
}
