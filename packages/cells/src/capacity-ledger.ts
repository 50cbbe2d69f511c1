import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import { Caller } from './caller.js'
import { CAPACITY_CUSTOMER, runInCapacityCell, waitMs } from './capacity-cell.js'
import { CellMeter } from './cell-meter.js'
import { generateOpenLoopLoad } from './load-generator.js'
import type { HeapMeter } from './process-meter.js'

export const LEDGER_COLUMNS = ['result bytes', 'recorded', 'sent', 'completed', 'answer p50 ms', 'store writes', 'store KB/request', 'heap KB/request'] as const
const REQUESTS_PER_SECOND = 150
const INSTANCES = 2
const ANSWER_TIMEOUT_MS = 10_000

/** Measures, in consecutive windows, the cost of a recorded request as the ledger grows, for results of several sizes. */
export async function measureLedger (
  resultSizes: readonly number[], seed: number, seconds: number, heapMeter: HeapMeter
): Promise<string[][]> {
  const rows: string[][] = []
  for (const resultBytes of resultSizes) {
    await runInCapacityCell({ instances: INSTANCES, seed, executors: 8 }, async (cell) => {
      const caller = new Caller(() => cell.instances)
      const random = new SeededRandomSource(seed)
      const stream = { kind: 'posting', customer: CAPACITY_CUSTOMER, isKeyed: true, ratePerSecond: REQUESTS_PER_SECOND, payload: { standIn: { resultBytes } } }
      const sumHeapMb = async (): Promise<number> => {
        const readings = await Promise.all(cell.instances.map(({ process }) => heapMeter.readHeap(process.pid)))
        return readings.reduce((sum, { heapUsedMb }) => sum + heapUsedMb, 0)
      }
      let recorded = 0
      for (let window = 0; window < 3; window++) {
        const heapBeforeMb = await sumHeapMb()
        const meter = new CellMeter(cell)
        await meter.start()
        const firstIndex = caller.records.length
        // When the ledger is full, a response may take as long as the default wait of 600 s.
        await Promise.race([generateOpenLoopLoad(caller, [stream], seconds, random), waitMs(seconds * 1000 + ANSWER_TIMEOUT_MS)])
        const records = caller.records.slice(firstIndex)
        const usage = await meter.finish()
        const completed = records.filter(({ outcome }) => outcome === 'completed')
        const responseTimesMs = completed.map(({ sentAtMs, answeredAtMs = 0 }) => answeredAtMs - sentAtMs)
          .toSorted((left, right) => left - right)
        rows.push([
          resultBytes, recorded, records.length, completed.length, responseTimesMs[Math.floor(responseTimesMs.length / 2)] ?? '-', usage.storeWrites,
          (usage.storeBytes / 1000 / records.length).toFixed(1), (((await sumHeapMb()) - heapBeforeMb) * 1024 / records.length).toFixed(2)
        ].map(String))
        recorded += completed.length
        if (completed.length < records.length / 2) break
      }
      await caller.close()
    })
  }
  return rows
}
