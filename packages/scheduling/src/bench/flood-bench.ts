import { PoolShardScheduler } from '../pool-shard-scheduler.js'
import { URGENCIES } from '../urgency.js'
import { buildBenchPool, buildSiteTargets } from './bench-builders.js'
import { BENCH_SITES, type BenchSite } from './bench-site.js'
import { type ClassReports, computeRetainedShares, computeWaitPercentileMs } from './class-report.js'
import { FifoFirstFitScheduler } from './fifo-first-fit-scheduler.js'
import { type Flood, FloodRun, NO_FLOOD } from './flood-run.js'
import type { BenchScheduler } from './bench-scheduler.js'
import type { TableRow } from './text-table.js'

export const FLOOD_COLUMNS = ['pool', 'flood', 'scheduler', 'class', 'wait p50 ms', 'wait p99 ms', 'kept %', 'use %', 'rejected', 'expired']

const EXECUTOR_MEASURE_MS = 8_000
const WORKER_MEASURE_MS = 40_000

const FLOODS: ReadonlyArray<{ readonly name: string, readonly flood: Flood }> = [
  { name: 'none', flood: NO_FLOOD },
  ...[5, 10].map((capacityMultiple) => ({ name: `low x${capacityMultiple}`, flood: { urgencies: ['low'] as const, capacityMultiple } })),
  ...[5, 10].map((capacityMultiple) => ({ name: `urgent x${capacityMultiple}`, flood: { urgencies: ['urgent'] as const, capacityMultiple } })),
  ...[5, 10].map((capacityMultiple) => ({ name: `both x${capacityMultiple}`, flood: { urgencies: ['urgent', 'low'] as const, capacityMultiple } }))
]

function buildScheduler (site: BenchSite): BenchScheduler {
  const scheduler = new PoolShardScheduler()
  scheduler.applyPools([buildBenchPool('bench', site.targetKind)], 0)
  scheduler.applyTargets(buildSiteTargets(site), 0)
  return scheduler
}

const SCHEDULERS: ReadonlyArray<{ readonly name: string, readonly build: (site: BenchSite) => BenchScheduler }> = [
  { name: 'core', build: buildScheduler },
  { name: 'fifo', build: (site) => new FifoFirstFitScheduler(buildSiteTargets(site)) }
]

function formatMs (value: number | undefined): string {
  return value === undefined ? '-' : value.toFixed(1)
}

/** Measures by class the waits, retained completions and capacity use in floods, for the scheduler and for the baseline. */
export function measureFloods (seed: number, siteFilter: string, floodFilter: string): TableRow[] {
  const rows: TableRow[] = []
  for (const site of BENCH_SITES.filter((candidate) => candidate.name.includes(siteFilter))) {
    const measureMs = site.targetKind === 'executor' ? EXECUTOR_MEASURE_MS : WORKER_MEASURE_MS
    for (const { name: schedulerName, build } of SCHEDULERS) {
      let unflooded: ClassReports | undefined
      for (const { name, flood } of FLOODS) {
        if (name !== 'none' && !name.includes(floodFilter)) continue
        const reports = new FloodRun(site, build(site), seed, measureMs).run(flood)
        unflooded ??= reports
        const retainedShares = computeRetainedShares(reports, unflooded)
        for (const urgency of URGENCIES) {
          const report = reports[urgency]
          rows.push([
            site.name, name, schedulerName, urgency,
            formatMs(computeWaitPercentileMs(report, 50)), formatMs(computeWaitPercentileMs(report, 99)),
            (100 * retainedShares[urgency]).toFixed(1), (100 * report.usedShareMs / measureMs).toFixed(1),
            String(report.rejected), String(report.expired)
          ])
        }
      }
    }
  }
  return rows
}
