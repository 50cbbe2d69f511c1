import test from 'ava'
import { runFaults } from '../src/fault-run.js'

const FIRST_SEED = 1
const SEED_COUNT = 20
/** Cells at a time. More would make the processes of one cell wait for the processors that another one uses. */
const CONCURRENT_CELLS = 4

// Twenty consecutive seeds begin with each of the 17 kinds of fault at least once.
// Each run is checked against all eight invariants. What a run must not break does not depend on its timing.
for (let first = FIRST_SEED; first < FIRST_SEED + SEED_COUNT; first += CONCURRENT_CELLS) {
  test.serial(`no invariant breaks under the faults of seeds ${first} to ${first + CONCURRENT_CELLS - 1}`, async (t) => {
    t.timeout(300_000)
    const results = await Promise.all(Array.from({ length: CONCURRENT_CELLS }, async (_, lane) => await runFaults(first + lane)))
    for (const { seed, violations, logDirectory } of results) t.deepEqual(violations, [], `seed ${seed}, logs in ${logDirectory}`)
  })
}
