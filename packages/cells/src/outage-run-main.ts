import { cac } from 'cac'
import type { CallerRecord } from './caller.js'
import { runFaults } from './fault-run.js'
import type { FaultKind } from './fault-plan.js'

const STORE_FAULT_KINDS: readonly FaultKind[] = ['storeDown', 'storeHang', 'storeSlow', 'storeFlap', 'storeLoseReplies', 'storeRates', 'cutStore', 'startInOutage']
/** The outage begins before most requests are sent and lasts longer than the 6 s in which they are. */
const OUTAGE_START_MS = 300
const OUTAGE_DURATION_MS = 7000

const command = cac('outage-run')
command.option('--seed <n>', 'Seed of the requests', { default: 1 })
command.help()
const { options } = command.parse()
if (options.help !== true) await runOutages(Number(options.seed))

/** Prints, for each kind of store fault, the completed requests of each kind and their median response time. */
async function runOutages (seed: number): Promise<void> {
  for (const kind of STORE_FAULT_KINDS) {
    const { records, violations } = await runFaults(seed, [{ kind, atMs: OUTAGE_START_MS, durationMs: OUTAGE_DURATION_MS, selector: 0 }])
    const kinds = [...new Set(records.map((record) => record.kind))].sort()
    const shares = kinds.map((name) => formatShare(name, records.filter((record) => record.kind === name)))
    process.stdout.write(`${kind}: ${shares.join(', ')}; ${violations.length} violations\n`)
  }
}

function formatShare (name: string, records: readonly CallerRecord[]): string {
  const completed = records.filter(({ outcome }) => outcome === 'completed')
  const responseTimesMs = completed.map(({ sentAtMs, answeredAtMs }) => (answeredAtMs ?? sentAtMs) - sentAtMs)
    .sort((left, right) => left - right)
  return `${name} ${completed.length}/${records.length} (p50 ${responseTimesMs[Math.floor(responseTimesMs.length / 2)] ?? 0} ms)`
}
