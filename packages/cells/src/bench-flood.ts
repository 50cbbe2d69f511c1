import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import { build } from 'hdr-histogram-js'
import { BENCH_CUSTOMER, BENCH_KINDS, buildPools, buildRoutes } from './bench-tables.js'
import { Caller, type CallerRecord } from './caller.js'
import type { Cell } from './cell.js'
import { generateOpenLoopLoad, type RequestStream } from './load-generator.js'

export const SERVICE_COLUMNS = ['tables', 'load', 'kind', 'class', 'sent', 'completed', 'kept %', 'wait p50 ms', 'wait p99 ms'] as const

/** A load of the bench: every kind at its ordinary rate, with or without a flood of one kind. */
export interface LoadCase {
  readonly name: string
  /** Multiple of the ordinary load. */
  readonly factor: number
  readonly floodKind?: string
  /** Rate of the flood as a multiple of the executors' capacity. */
  readonly floodFactor?: number
}

export const LOAD_CASES: readonly LoadCase[] = [
  { name: 'light', factor: 1 },
  { name: 'near saturation', factor: 2.6 },
  ...['supply-reorder', 'readiness-check'].flatMap((floodKind) => [5, 10].map((floodFactor): LoadCase => (
    { name: `${floodFactor}x ${floodKind}`, factor: 1, floodKind, floodFactor }
  )))
]

interface CaseResult {
  readonly tables: string
  readonly load: string
  readonly records: readonly CallerRecord[]
}

export interface ServiceBenchOptions {
  readonly cell: Cell
  readonly random: RandomSource
  readonly seconds: number
  /** Requests per second that the executors can serve. */
  readonly capacity: number
  /** Revision of the tables with urgency classes, which are applied when the measurement begins. */
  readonly revision: number
}

/** Runs every load with urgency classes, then the loads with factor 1 with the baseline tables, in the same cell. */
export async function measureService (options: ServiceBenchOptions): Promise<string[][]> {
  const { cell, revision } = options
  const results: CaseResult[] = []
  // Warms the cell up; its results are discarded.
  await runCase(options, LOAD_CASES[1], 3)
  for (const load of LOAD_CASES) results.push({ tables: 'classes', load: load.name, records: await runCase(options, load, options.seconds) })
  await cell.applyTables({ routes: buildRoutes(true), pools: buildPools(true) }, revision)
  for (const load of LOAD_CASES.filter(({ factor }) => factor === 1)) {
    results.push({ tables: 'first come', load: load.name, records: await runCase(options, load, options.seconds) })
  }
  const runs = [...await cell.readExecutorRuns(), ...(await cell.readTaskRecords()).records]
  const startTimes = new Map(runs.map(({ requestId, startedAtMs }) => [requestId, startedAtMs]))
  return results.flatMap((result) => formatCase(result, results.find(({ tables }) => tables === result.tables), startTimes))
}

async function runCase (
  { cell, random, capacity }: ServiceBenchOptions, load: LoadCase | undefined, seconds: number
): Promise<CallerRecord[]> {
  const ordinary = BENCH_KINDS.map(({ kind, pool, weight, isIdempotent }): RequestStream => ({
    kind, customer: BENCH_CUSTOMER, isKeyed: !isIdempotent, ratePerSecond: weight * (load?.factor ?? 1) * (pool === 'executors' ? capacity : 1)
  }))
  // A separate caller sends the flood, so that it doesn't occupy the connections of the ordinary one.
  const [caller, floodCaller] = [new Caller(() => cell.instances), new Caller(() => cell.instances)]
  const flood: RequestStream[] = load?.floodKind === undefined
    ? []
    : [{ kind: load.floodKind, customer: BENCH_CUSTOMER, isKeyed: false, ratePerSecond: capacity * (load.floodFactor ?? 0) }]
  const [records] = await Promise.all([
    generateOpenLoopLoad(caller, ordinary, seconds, random), generateOpenLoopLoad(floodCaller, flood, seconds, random)
  ])
  await Promise.all([caller.close(), floodCaller.close()])
  return records
}

function formatCase (
  { tables, load, records }: CaseResult, withoutFlood: CaseResult | undefined, startTimes: ReadonlyMap<string, number>
): string[][] {
  return BENCH_KINDS.map(({ kind, urgency }) => {
    const sent = records.filter((record) => record.kind === kind)
    const completedShare = computeCompletedShare(sent)
    const referenceShare = computeCompletedShare(withoutFlood?.records.filter((record) => record.kind === kind) ?? [])
    const waits = build()
    for (const { requestId, sentAtMs } of sent) {
      const startedAtMs = startTimes.get(requestId ?? '')
      if (startedAtMs !== undefined) waits.recordValue(Math.max(0, startedAtMs - sentAtMs))
    }
    return [
      tables, load, kind, tables === 'classes' ? urgency : 'normal', String(sent.length), String(countCompleted(sent)),
      (completedShare / referenceShare * 100).toFixed(0), String(waits.getValueAtPercentile(50)), String(waits.getValueAtPercentile(99))
    ]
  })
}

function countCompleted (records: readonly CallerRecord[]): number {
  return records.filter(({ outcome }) => outcome === 'completed').length
}

/** Returns the completed share of the requests sent. Arrivals are random, so counts of two measurements can't be compared. */
function computeCompletedShare (records: readonly CallerRecord[]): number {
  return countCompleted(records) / Math.max(1, records.length)
}
