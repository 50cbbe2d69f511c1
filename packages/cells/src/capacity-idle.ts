import { runInCapacityCell, waitMs } from './capacity-cell.js'
import { CellMeter, sumInstanceCpuMs, type CellUsage } from './cell-meter.js'
import type { Cell } from './cell.js'
import type { HeapMeter } from './process-meter.js'

export const IDLE_COLUMNS = [
  'varied', 'CPU % of a core', 'peer KB/s', 'store KB/s', 'store writes/s', 'store reads/s', 'heap MB', 'external MB', 'resident MB',
  'busiest CPU %', 'largest heap MB'
] as const
const STABILIZATION_MS = 4000

/** Measures idle cells with several numbers of instances. The figures are per instance; peer bytes count those sent and those received. */
export async function measureIdleInstances (
  counts: readonly number[], seed: number, seconds: number, heapMeter: HeapMeter
): Promise<string[][]> {
  const rows: string[][] = []
  for (const instances of counts) {
    const measure = async (cell: Cell): Promise<string[]> => [`${instances} instances`, ...await measureIdle(cell, seconds, heapMeter)]
    rows.push(await runInCapacityCell({ instances, seed }, measure))
  }
  return rows
}

/** Measures idle cells of two instances with several numbers of targets. */
export async function measureIdleTargets (
  counts: readonly number[], seed: number, seconds: number, heapMeter: HeapMeter
): Promise<string[][]> {
  const rows: string[][] = []
  for (const kind of ['executors', 'workers'] as const) {
    for (const count of counts) {
      rows.push(await runInCapacityCell({ instances: 2, seed, [kind]: count }, async (cell) => [
        `${count} ${kind}`, ...await measureIdle(cell, seconds, heapMeter)
      ]))
    }
  }
  return rows
}

/** Waits until the cell is stable and measures its usage from then on. */
export async function measureIdle (cell: Cell, seconds: number, heapMeter: HeapMeter): Promise<string[]> {
  await waitMs(STABILIZATION_MS)
  const meter = new CellMeter(cell)
  await meter.start()
  await waitMs(seconds * 1000)
  return await formatUsage(cell, await meter.finish(), heapMeter)
}

/** Formats usage as a table row of `IDLE_COLUMNS`, without the first column. */
export async function formatUsage (cell: Cell, usage: CellUsage, heapMeter: HeapMeter): Promise<string[]> {
  const count = cell.instances.length
  const readings = await Promise.all(cell.instances.map(({ process }) => heapMeter.readHeap(process.pid)))
  const formatAverage = (values: readonly number[]): string => (values.reduce((sum, value) => sum + value, 0) / count).toFixed(1)
  const computeRatePerInstance = (value: number): number => value / usage.seconds / count
  return [
    (computeRatePerInstance(sumInstanceCpuMs(usage)) / 10).toFixed(2),
    (2 * computeRatePerInstance(usage.peerBytes) / 1000).toFixed(2), (computeRatePerInstance(usage.storeBytes) / 1000).toFixed(2),
    computeRatePerInstance(usage.storeWrites).toFixed(2), computeRatePerInstance(usage.storeReads).toFixed(2),
    formatAverage(readings.map(({ heapUsedMb }) => heapUsedMb)), formatAverage(readings.map(({ externalMb }) => externalMb)),
    formatAverage(readings.map(({ residentMb }) => residentMb)),
    (Math.max(...cell.instances.map(({ id }) => usage.cpuMs.get(id) ?? 0)) / usage.seconds / 10).toFixed(2),
    Math.max(...readings.map(({ heapUsedMb }) => heapUsedMb)).toFixed(1)
  ]
}

export const POLL_COLUMNS = ['executors of one shard', 'seconds', 'polls/s', 'never polled', 'least polls', 'most polls'] as const

/** Measures how evenly a shard owner polls its executors for their progress. */
export async function measurePolls (counts: readonly number[], seed: number, seconds: number): Promise<string[][]> {
  const rows: string[][] = []
  for (const executors of counts) {
    rows.push(await runInCapacityCell({ instances: 2, seed, executors }, async (cell) => {
      await waitMs(STABILIZATION_MS)
      const earlierPolls = await cell.readProgressPolls()
      await waitMs(seconds * 1000)
      const polls = [...await cell.readProgressPolls()].map(([id, count]) => count - (earlierPolls.get(id) ?? 0))
      const sum = polls.reduce((total, count) => total + count, 0)
      return [
        executors, seconds, (sum / seconds).toFixed(1), polls.filter((count) => count === 0).length, Math.min(...polls), Math.max(...polls)
      ].map(String)
    }))
  }
  return rows
}
