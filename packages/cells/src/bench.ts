import { spawnSync } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import { formatTable } from '@hibiscusledge/scheduling/bench/text-table.js'
import { cac } from 'cac'
import { measureService, SERVICE_COLUMNS } from './bench-flood.js'
import { measureRoles, ROLE_COLUMNS } from './bench-roles.js'
import { BENCH_FAILURE_DOMAINS, BENCH_UNIT_COUNT, buildPools, buildRoutes } from './bench-tables.js'
import { Cell } from './cell.js'

const EXECUTORS = 8
const SLOTS = 8
/** Standard deviation of the logarithm of the service time. */
const SIGMA = 0.3

const command = cac('bench')
command.option('--seed <n>', 'Seed of arrivals and service times', { default: 1 })
command.option('--seconds <n>', 'Length of each measurement', { default: 6 })
command.option('--instances <n>', 'Number of instances of hibiscusledge', { default: 4 })
command.option('--service-ms <n>', 'Median service time on executors, which sets their capacity', { default: 500 })
command.option('--parts <names>', 'Comma-separated: core, roles, service', { default: 'core,roles,service' })
// The floods of the core bench take over two minutes, so they run only on request.
command.option('--core-parts <names>', 'Parts of the core bench', { default: 'packing,hung,decision' })
command.help()
const { options } = command.parse()
if (options.help !== true) await runBench()

async function runBench (): Promise<void> {
  const [seed, seconds, instances] = [Number(options.seed), Number(options.seconds), Number(options.instances)]
  const parts = String(options.parts).split(',')
  if (parts.includes('core')) runCoreBench(seed)
  if (parts.includes('roles')) printTable(`Roles at saturation, per placement, seed ${seed}`, ROLE_COLUMNS, await measureRoles(seed, seconds, instances))
  if (parts.includes('service')) await printService(seed, seconds, instances)
}

async function printService (seed: number, seconds: number, instances: number): Promise<void> {
  const medianMs = Number(options.serviceMs)
  // The mean of a log-normal distribution is its median times exp(sigma² / 2).
  const capacity = EXECUTORS * SLOTS * 1000 / (medianMs * Math.exp(SIGMA ** 2 / 2))
  const failureDomains = [...BENCH_FAILURE_DOMAINS]
  const cell = new Cell({
    instances,
    failureDomains,
    seed,
    instanceFlags: ['--log-level', 'warn'],
    groups: [
      { kind: 'executor', idPrefix: 'executor', count: EXECUTORS, failureDomains, rackSize: 2, serviceMs: [`default=${medianMs}:${SIGMA}`] },
      { kind: 'worker', idPrefix: 'worker', count: 8, failureDomains, rackSize: 2, serviceMs: ['default=1000:0.3'] }
    ]
  })
  process.once('SIGTERM', () => { void cell.stop().then(() => process.exit(1)) })
  try {
    await cell.start()
    const revision = await cell.applyTables({ routes: buildRoutes(false), pools: buildPools(false) })
    await cell.waitForOwners(BENCH_UNIT_COUNT)
    const rows = await measureService({ cell, random: new SeededRandomSource(seed), seconds, capacity, revision })
    printTable(`Service and waiting time, capacity ${capacity.toFixed(0)} requests/s, seed ${seed}`, SERVICE_COLUMNS, rows)
  } finally {
    await cell.stop()
  }
}

function runCoreBench (seed: number): void {
  const file = fileURLToPath(import.meta.resolve('@hibiscusledge/scheduling/bench/bench-core.js'))
  spawnSync(process.execPath, [file, '--seed', String(seed), '--parts', String(options.coreParts)], { stdio: 'inherit' })
}

function printTable (title: string, columns: readonly string[], rows: readonly string[][]): void {
  process.stdout.write(`${title}\n\n${formatTable(columns, rows)}\n\n`)
}
