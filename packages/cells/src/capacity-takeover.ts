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
 * Ends an instance and times until another owns each of its units. A planned stop hands units over one after the other
 * while the rest stay in service, so its times do not say how long a unit was without owner.
 */
export async function measureTakeovers (runs: number, seed: number): Promise<string[][]> {
  const rows: string[][] = []
  for (const [end, signal] of [['kill', 'SIGKILL'], ['planned stop', 'SIGTERM']] as const) {
    await runInCapacityCell({ instances: INSTANCES, seed, executors: 8, workers: 8, failureDomains: ['bilbao', 'oviedo', 'santander', 'a-coruna'] }, async (cell) => {
      for (let run = 1; run <= runs; run++) {
        const victim = cell.instances.find(({ process }) => process.isRunning())
        if (victim !== undefined) rows.push([end, String(run), ...await measureTakeover(cell, victim, signal)])
        const startMs = performance.now()
        const successor = await cell.startInstance()
        await waitUntil(async () => (await readUnits(successor)).some(({ owner }) => owner === successor.id), WAIT_TIMEOUT_MS, 'the replacement to own units')
        rows.at(-1)?.splice(5, 1, (performance.now() - startMs).toFixed(0))
      }
    })
  }
  return rows
}

async function measureTakeover (cell: Cell, victim: CellInstance, signal: NodeJS.Signals): Promise<string[]> {
  const witness = cell.instances.find((instance) => instance !== victim && instance.process.isRunning())
  if (witness === undefined) throw new Error('no instance is left')
  await waitMs(STABILIZATION_MS)
  const meter = new CellMeter(cell)
  await meter.start()
  await waitMs(STABILIZATION_MS)
  const idle = await meter.finish()
  const owned = (await readUnits(witness)).filter(({ owner }) => owner === victim.id).map(({ unit }) => unit)
  await meter.start()
  const startMs = performance.now()
  victim.process.sendSignal(signal)
  let firstMs: number | undefined
  await waitUntil(async () => {
    const moved = (await readUnits(witness)).filter(({ unit, owner }) => owned.includes(unit) && owner !== victim.id).length
    if (moved > 0) firstMs ??= performance.now() - startMs
    return moved === owned.length
  }, WAIT_TIMEOUT_MS, `the units of ${victim.id} to have new owners`)
  const lastMs = performance.now() - startMs
  await victim.process.waitForExit()
  const use = await meter.finish()
  const over = (value: number, idleValue: number): string => (value - idleValue * use.seconds / idle.seconds).toFixed(0)
  return [
    String(owned.length), (firstMs ?? 0).toFixed(0), lastMs.toFixed(0), '', String(use.storeWrites), String(use.storeReads),
    over(use.storeWrites, idle.storeWrites), over(use.storeReads, idle.storeReads)
  ]
}

async function readUnits ({ origin }: CellInstance): Promise<readonly UnitOwnership[]> {
  return (await readJson(`${origin}/v1/status`) as { units?: readonly UnitOwnership[] } | undefined)?.units ?? []
}
