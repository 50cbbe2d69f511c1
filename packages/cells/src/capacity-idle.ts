import { runInCapacityCell, waitMs } from './capacity-cell.js'
import { CellMeter, sumInstanceCpuMs, type CellUsage } from './cell-meter.js'
import type { Cell } from './cell.js'
import type { HeapMeter } from './process-meter.js'

export const IDLE_COLUMNS = [
  'varied', 'CPU % of a core', 'peer KB/s', 'store KB/s', 'store writes/s', 'store reads/s', 'heap MB', 'external MB', 'resident MB',
  'busiest CPU %', 'largest heap MB'
] as const
const STABILIZATION_MS = 4000

/** Idle cells; each figure is for one instance, and peer bytes are those sent and received by it. */
export async function measureIdleInstances (
  counts: readonly number[], seed: number, seconds: number, heaps: HeapMeter
): Promise<string[][]> {
  const rows: string[][] = []
  for (const instances of counts) {
    const measure = async (cell: Cell): Promise<string[]> => [`${instances} instances`, ...await measureIdle(cell, seconds, heaps)]
    rows.push(await runInCapacityCell({ instances, seed }, measure))
  }
  return rows
}

/** An idle cell of two instances whose shards have more and more targets. */
export async function measureIdleTargets (counts: readonly number[], seed: number, seconds: number, heaps: HeapMeter): Promise<string[][]> {
  const rows: string[][] = []
  for (const kind of ['executors', 'workers'] as const) {
    for (const count of counts) {
      rows.push(await runInCapacityCell({ instances: 2, seed, [kind]: count }, async (cell) => [
        `${count} ${kind}`, ...await measureIdle(cell, seconds, heaps)
      ]))
    }
  }
  return rows
}

export async function measureIdle (cell: Cell, seconds: number, heaps: HeapMeter): Promise<string[]> {
  await waitMs(STABILIZATION_MS)
  const meter = new CellMeter(cell)
  await meter.start()
  await waitMs(seconds * 1000)
  return await formatUsage(cell, await meter.finish(), heaps)
}

export async function formatUsage (cell: Cell, use: CellUsage, heaps: HeapMeter): Promise<string[]> {
  const count = cell.instances.length
  const readings = await Promise.all(cell.instances.map(({ process }) => heaps.readHeap(process.pid)))
  const average = (values: readonly number[]): string => (values.reduce((sum, value) => sum + value, 0) / count).toFixed(1)
  const perSecond = (value: number): number => value / use.seconds / count
  return [
    (perSecond(sumInstanceCpuMs(use)) / 10).toFixed(2),
    (2 * perSecond(use.peerBytes) / 1000).toFixed(2), (perSecond(use.storeBytes) / 1000).toFixed(2),
    perSecond(use.storeWrites).toFixed(2), perSecond(use.storeReads).toFixed(2),
    average(readings.map(({ heapUsedMb }) => heapUsedMb)), average(readings.map(({ externalMb }) => externalMb)),
    average(readings.map(({ residentMb }) => residentMb)),
    (Math.max(...cell.instances.map(({ id }) => use.cpuMs.get(id) ?? 0)) / use.seconds / 10).toFixed(2),
    Math.max(...readings.map(({ heapUsedMb }) => heapUsedMb)).toFixed(1)
  ]
}

export const POLL_COLUMNS = ['executors of one shard', 'seconds', 'polls/s', 'never polled', 'least polls', 'most polls'] as const

/** How evenly a shard owner asks its executors for their progress. */
export async function measurePolls (counts: readonly number[], seed: number, seconds: number): Promise<string[][]> {
  const rows: string[][] = []
  for (const executors of counts) {
    rows.push(await runInCapacityCell({ instances: 2, seed, executors }, async (cell) => {
      await waitMs(STABILIZATION_MS)
      const before = await cell.readProgressPolls()
      await waitMs(seconds * 1000)
      const polls = [...await cell.readProgressPolls()].map(([id, count]) => count - (before.get(id) ?? 0))
      const sum = polls.reduce((total, count) => total + count, 0)
      return [
        executors, seconds, (sum / seconds).toFixed(1), polls.filter((count) => count === 0).length, Math.min(...polls), Math.max(...polls)
      ].map(String)
    }))
  }
  return rows
}
