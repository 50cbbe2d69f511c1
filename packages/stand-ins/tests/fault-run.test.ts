import test from 'ava'
import { FAULT_KINDS } from '../src/fault-plan.js'
import { runFaults } from '../src/fault-run.js'

const FIRST_SEED = 1
const SEED_COUNT = 20
/** Cells at a time. More would make the processes of one cell wait for the processors that another one uses. */
const LANES = 4

// Each run is checked against all eight invariants. What a run must not break does not depend on its timing.
for (let first = FIRST_SEED; first < FIRST_SEED + SEED_COUNT; first += LANES) {
  test.serial(`no invariant breaks under the faults of seeds ${first} to ${first + LANES - 1}`, async (t) => {
    t.timeout(300_000)
    const results = await Promise.all(Array.from({ length: LANES }, async (_, lane) => await runFaults(first + lane)))
    for (const { seed, violations, logDirectory } of results) t.deepEqual(violations, [], `seed ${seed}, logs in ${logDirectory}`)
  })
}

// The drawn plans need not contain every fault, so each kind also has a run of its own on the same checks.
for (let first = 0; first < FAULT_KINDS.length; first += LANES) {
  const kinds = FAULT_KINDS.slice(first, first + LANES)
  test.serial(`no invariant breaks under ${kinds.join(', ')} alone`, async (t) => {
    t.timeout(300_000)
    const results = await Promise.all(kinds.map(async (kind, lane) =>
      await runFaults(1000 + first + lane, [{ kind, atMs: 1500, durationMs: 5000, pick: lane }])))
    for (const { plan, violations, outcomes } of results) {
      t.deepEqual(violations, [], plan[0]?.kind)
      t.true((outcomes.completed ?? 0) > 0, 'work goes on beside the fault')
    }
  })
}
