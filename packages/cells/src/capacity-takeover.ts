import { runInCapacityCell, waitMs } from './capacity-cell.js'
import { CellMeter } from './cell-meter.js'
import { readJson, type Cell, type CellInstance } from './cell.js'
import { waitUntil } from './wait-until.js'

export const TAKEOVER_COLUMNS = [
  'end', 'run', 'units', 'first unit ms', 'last unit ms', 'replacement owns units ms', 'store writes', 'store reads', 'writes over idle', 'reads over idle'
] as const
const INSTANCES = 4
const WAIT_TIMEOUT_MS = 60_000
const STABILIZATION_MS = 5000

interface UnitOwnership { readonly unit: string, readonly owner: string }

/**
 * Kills or stops an instance and measures the time until other instances own its units. A planned stop hands the units over
 * one after the other while the rest stay in service, so its times don't show how long a unit had no owner.
 */
export async function measureTakeovers (runs: number, seed: number): Promise<string[][]> {
  const rows: string[][] = []
  for (const [end, signal] of [['kill', 'SIGKILL'], ['planned stop', 'SIGTERM']] as const) {
    await runInCapacityCell({ instances: INSTANCES, seed, executors: 8, workers: 8, failureDomains: ['bilbao', 'oviedo', 'santander', 'a-coruna'] }, async (cell) => {
      for (let run = 1; run <= runs; run++) {
        const terminatedInstance = cell.instances.find(({ process }) => process.isRunning())
        if (terminatedInstance !== undefined) rows.push([end, String(run), ...await measureTakeover(cell, terminatedInstance, signal)])
        const startMs = performance.now()
        const replacement = await cell.startInstance()
        await waitUntil(async () => (await readUnits(replacement)).some(({ owner }) => owner === replacement.id), WAIT_TIMEOUT_MS, 'the replacement to own units')
        rows.at(-1)?.splice(5, 1, (performance.now() - startMs).toFixed(0))
      }
    })
  }
  return rows
}

async function measureTakeover (cell: Cell, terminatedInstance: CellInstance, signal: NodeJS.Signals): Promise<string[]> {
  const observer = cell.instances.find((instance) => instance !== terminatedInstance && instance.process.isRunning())
  if (observer === undefined) throw new Error('no other instance is running')
  await waitMs(STABILIZATION_MS)
  const meter = new CellMeter(cell)
  await meter.start()
  await waitMs(STABILIZATION_MS)
  const idle = await meter.finish()
  const ownedUnits = (await readUnits(observer)).filter(({ owner }) => owner === terminatedInstance.id).map(({ unit }) => unit)
  await meter.start()
  const startMs = performance.now()
  terminatedInstance.process.sendSignal(signal)
  let firstMs: number | undefined
  await waitUntil(async () => {
    const movedCount = (await readUnits(observer))
      .filter(({ unit, owner }) => ownedUnits.includes(unit) && owner !== terminatedInstance.id).length
    if (movedCount > 0) firstMs ??= performance.now() - startMs
    return movedCount === ownedUnits.length
  }, WAIT_TIMEOUT_MS, `the units of ${terminatedInstance.id} to have new owners`)
  const lastMs = performance.now() - startMs
  await terminatedInstance.process.waitForExit()
  const usage = await meter.finish()
  const subtractIdle = (value: number, idleValue: number): string => (value - idleValue * usage.seconds / idle.seconds).toFixed(0)
  return [
    String(ownedUnits.length), (firstMs ?? 0).toFixed(0), lastMs.toFixed(0), '', String(usage.storeWrites), String(usage.storeReads),
    subtractIdle(usage.storeWrites, idle.storeWrites), subtractIdle(usage.storeReads, idle.storeReads)
  ]
}

async function readUnits ({ origin }: CellInstance): Promise<readonly UnitOwnership[]> {
  return (await readJson(`${origin}/v1/status`) as { units?: readonly UnitOwnership[] } | undefined)?.units ?? []
}
