import test from 'ava'
import { runFaults } from '../src/fault-run.js'

const FIRST_SEED = 1
const SEED_COUNT = 20
/** With more cells at a time, the processes of one cell would wait for processors that another one uses. */
const CONCURRENT_CELLS = 4

// Guards against invariant violations under faults. Each of the 20 kinds of fault occurs in at least one of 20 consecutive
// seeds, and every run is checked against all eight invariants, which hold whatever the timing of a run.
for (let firstSeed = FIRST_SEED; firstSeed < FIRST_SEED + SEED_COUNT; firstSeed += CONCURRENT_CELLS) {
  test.serial(`no invariant is violated under the faults of seeds ${firstSeed} to ${firstSeed + CONCURRENT_CELLS - 1}`, async (t) => {
    t.timeout(300_000)
    const results = await Promise.all(Array.from({ length: CONCURRENT_CELLS }, async (_, offset) => await runFaults(firstSeed + offset)))
    for (const { seed, violations, logDirectory } of results) t.deepEqual(violations, [], `seed ${seed}, logs in ${logDirectory}`)
  })
}
