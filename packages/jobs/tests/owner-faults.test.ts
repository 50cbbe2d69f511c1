import test from 'ava'
import fc from 'fast-check'
import { SCENARIO_FAMILIES, type Scenario, type ScenarioFamily } from './fault-scenario.js'
import { runScenario } from './run-scenario.js'

// To run other seeds: HIBISCUSLEDGE_FIRST_SEED=100 HIBISCUSLEDGE_SEEDS=50 npx ava packages/jobs/dist/tests/owner-faults.test.js
// HIBISCUSLEDGE_SHRINK=1 reduces each failing scenario first, HIBISCUSLEDGE_TRACE=1 prints what happened in it, and
// HIBISCUSLEDGE_SCENARIO='{"seed":...}' runs a printed scenario.
const FIRST_SEED = Number(process.env['HIBISCUSLEDGE_FIRST_SEED'] ?? 1)
const SEED_COUNT = Number(process.env['HIBISCUSLEDGE_SEEDS'] ?? 20)
const SHRINKS = process.env['HIBISCUSLEDGE_SHRINK'] !== undefined
const PRINTS_TRACE = process.env['HIBISCUSLEDGE_TRACE'] !== undefined
/** Seeds of a family that have shown a fault before. */
const KNOWN_SEEDS: Partial<Record<ScenarioFamily, readonly number[]>> = {
  restartsAndDelays: [233],
  lateOrdersAndRestarts: [88],
  lateOrdersAndCrashLoops: [47, 51, 107, 128, 139, 184]
}
const GIVEN_SCENARIO = process.env['HIBISCUSLEDGE_SCENARIO']

function listSeeds (family: ScenarioFamily): number[] {
  const seeds = Array.from({ length: SEED_COUNT }, (_, index) => FIRST_SEED + index)
  return [...new Set([...seeds, ...KNOWN_SEEDS[family] ?? []])]
}

/** Runs the scenario of a seed. Returns it if it breaks a guarantee. */
async function findFailing (family: ScenarioFamily, seed: number): Promise<Scenario | undefined> {
  const property = fc.asyncProperty(SCENARIO_FAMILIES[family], async (scenario) => (await runScenario(scenario)).broken.length === 0)
  const { counterexample } = await fc.check(property, { seed, numRuns: 1, endOnFailure: !SHRINKS })
  return counterexample?.[0]
}

/** Runs a scenario, prints it if it breaks a guarantee, and returns one line for each one that is broken. */
async function runAndPrint (scenario: Scenario, print: (text: string) => void): Promise<string[]> {
  const { broken, trace } = await runScenario(scenario)
  if (broken.length > 0) print(JSON.stringify(scenario))
  if (broken.length > 0 && PRINTS_TRACE) print(trace.join('\n'))
  return broken.map(({ kind, detail }) => `${kind}: ${detail}`)
}

for (const family of Object.keys(SCENARIO_FAMILIES) as ScenarioFamily[]) {
  // Guards against conclusions from an answer that is older than what it contradicts, which start a task twice or never again.
  test(`the guarantees for runs hold in generated scenarios: ${family}`, async (t) => {
    const lines: string[] = []
    for (const seed of listSeeds(family)) {
      const scenario = await findFailing(family, seed)
      if (scenario === undefined) continue
      const broken = await runAndPrint(scenario, (text) => t.log(`seed ${seed}: ${text}`))
      lines.push(...broken.map((line) => `seed ${seed}, ${line}`))
    }
    t.deepEqual(lines, [])
  })
}

if (GIVEN_SCENARIO !== undefined) {
  test('the guarantees for runs hold in the given scenario', async (t) => {
    t.deepEqual(await runAndPrint(JSON.parse(GIVEN_SCENARIO), (text) => t.log(text)), [])
  })
}
