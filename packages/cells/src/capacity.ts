import { spawn } from 'node:child_process'
import { formatTable } from '@hibiscusledge/scheduling/bench/text-table.js'
import { cac } from 'cac'
import { IDLE_COLUMNS, measureIdleInstances, measureIdleTargets, measurePolls, POLL_COLUMNS } from './capacity-idle.js'
import { LEDGER_COLUMNS, measureLedger } from './capacity-ledger.js'
import { measureRates, measureTableChanges, measureTasks, RATE_COLUMNS, TABLE_COLUMNS } from './capacity-load.js'
import { measureTakeovers, TAKEOVER_COLUMNS } from './capacity-takeover.js'
import { HeapMeter, readResidentMb } from './process-meter.js'

const PARTS = ['idle', 'targets', 'polls', 'tasks', 'rates', 'ledger', 'tables', 'takeover', 'memory'] as const

const command = cac('capacity')
command.option('--parts <names>', `Comma-separated: ${PARTS.join(', ')}`, { default: PARTS.join(',') })
command.option('--seed <n>', 'Seed of arrivals and service times', { default: 1 })
command.option('--seconds <n>', 'Length of each measurement', { default: 8 })
command.option('--counts <list>', 'Values of what the part varies, comma-separated', { default: '' })
command.option('--runs <n>', 'Runs of each takeover', { default: 3 })
command.help()
const { options } = command.parse()
if (options.help !== true) await runParts()

async function runParts (): Promise<void> {
  const [seed, seconds] = [Number(options.seed), Number(options.seconds)]
  const listCounts = (defaults: readonly number[]): readonly number[] => options.counts === '' ? defaults : String(options.counts).split(',').map(Number)
  const heapMeter = new HeapMeter()
  const measures: Record<string, () => Promise<readonly [readonly string[], string[][]]>> = {
    idle: async () => [IDLE_COLUMNS, await measureIdleInstances(listCounts([2, 4, 7, 10]), seed, seconds, heapMeter)],
    targets: async () => [IDLE_COLUMNS, await measureIdleTargets(listCounts([10, 100, 320]), seed, seconds, heapMeter)],
    polls: async () => [POLL_COLUMNS, await measurePolls(listCounts([33, 100, 150, 320]), seed, seconds)],
    tasks: async () => [IDLE_COLUMNS, await measureTasks(listCounts([0, 250, 1000]), seed, seconds, heapMeter)],
    rates: async () => [RATE_COLUMNS, await measureRates(listCounts([50, 200]), seed, seconds, heapMeter)],
    ledger: async () => [LEDGER_COLUMNS, await measureLedger(listCounts([0, 12_000]), seed, seconds, heapMeter)],
    tables: async () => [TABLE_COLUMNS, await measureTableChanges(30, seed)],
    takeover: async () => [TAKEOVER_COLUMNS, await measureTakeovers(Number(options.runs), seed)],
    memory: async () => [['process', 'resident MB'], [['bare node', (await measureBareRuntime()).toFixed(1)]]]
  }
  for (const part of String(options.parts).split(',')) {
    if (part === 'takeover' || part === 'memory') heapMeter.detach()
    else heapMeter.attach()
    const [columns, rows] = await (measures[part] ?? (() => { throw new Error(`unknown part ${part}`) }))()
    process.stdout.write(`${part}, seed ${seed}\n\n${formatTable(columns, rows)}\n\n`)
  }
  heapMeter.remove()
}

/** Returns the resident memory of a Node.js process that does nothing, as a reference. */
async function measureBareRuntime (): Promise<number> {
  const child = spawn(process.execPath, ['-e', 'console.log("ready"); setInterval(() => {}, 1000)'], { stdio: ['ignore', 'pipe', 'ignore'] })
  await new Promise((resolve) => child.stdout.once('data', resolve))
  const residentMb = readResidentMb(child.pid ?? 0)
  child.kill()
  return residentMb
}
