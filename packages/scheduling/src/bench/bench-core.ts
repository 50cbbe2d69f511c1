import { performance } from 'node:perf_hooks'
import { parseArgs } from 'node:util'
import { DECISION_COLUMNS, measureDecisions } from './decision-bench.js'
import { FLOOD_COLUMNS, measureFloods } from './flood-bench.js'
import { HUNG_COLUMNS, measureHangDetection } from './hung-bench.js'
import { measurePacking, PACKING_COLUMNS } from './packing-bench.js'
import { formatTable } from './text-table.js'

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    /** Comma-separated list of the benchmarks to run: flood, packing, decision, hung. */
    parts: { type: 'string', default: 'flood,packing,decision,hung' },
    /** Limits the flood benchmark to pools whose name contains the text. */
    site: { type: 'string', default: '' },
    /** Limits the flood benchmark to floods whose name contains the text; the run without a flood is always included. */
    flood: { type: 'string', default: '' }
  }
})
const seed = Number(values.seed)
if (!Number.isSafeInteger(seed)) {
  console.error(`--seed takes an integer, not ${values.seed}`)
  process.exit(2)
}
const parts = values.parts.split(',')

if (parts.includes('flood')) console.log(`Floods, seed ${seed}\n\n${formatTable(FLOOD_COLUMNS, measureFloods(seed, values.site, values.flood))}\n`)
if (parts.includes('packing')) console.log(`Packing at saturation, seed ${seed}\n\n${formatTable(PACKING_COLUMNS, measurePacking(seed))}\n`)
if (parts.includes('hung')) console.log(`Saturated or hung, seed ${seed}\n\n${formatTable(HUNG_COLUMNS, measureHangDetection(seed))}\n`)
if (parts.includes('decision')) {
  const rows = measureDecisions(seed, () => performance.now(), () => process.memoryUsage().heapUsed)
  console.log(`Decision cost, seed ${seed}\n\n${formatTable(DECISION_COLUMNS, rows)}\n`)
}
