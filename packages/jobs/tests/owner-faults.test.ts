import test from 'ava'
import fc from 'fast-check'
import { SCENARIO_FAMILIES, type Scenario, type ScenarioFamily } from './fault-scenario.js'
import { runScenario } from './run-scenario.js'

// To run other seeds: HIBISCUSLEDGE_FIRST_SEED=100 HIBISCUSLEDGE_SEEDS=50 npx ava packages/jobs/dist/tests/owner-faults.test.js
// HIBISCUSLEDGE_TRACE=1 prints the trace of each failing seed as well. HIBISCUSLEDGE_SCENARIO='{"seed":...}' runs a printed scenario.
const FIRST_SEED = Number(process.env['HIBISCUSLEDGE_FIRST_SEED'] ?? 1)
const SEED_COUNT = Number(process.env['HIBISCUSLEDGE_SEEDS'] ?? 5)
const PRINTS_TRACE = process.env['HIBISCUSLEDGE_TRACE'] !== undefined
const GIVEN_SCENARIO = process.env['HIBISCUSLEDGE_SCENARIO']

function generateScenario (family: ScenarioFamily, seed: number): Scenario[] {
  return fc.sample(SCENARIO_FAMILIES[family], { seed, numRuns: 1 })
}

/** Runs a scenario and returns one line for each broken guarantee. */
async function runAndPrint (scenario: Scenario, print: (text: string) => void): Promise<string[]> {
  const { broken, trace } = await runScenario(scenario)
  if (broken.length > 0) print(JSON.stringify(scenario))
  if (broken.length > 0 && PRINTS_TRACE) print(trace.join('\n'))
  return broken.map(({ kind, detail }) => `${kind}: ${detail}`)
}

for (const family of Object.keys(SCENARIO_FAMILIES) as ScenarioFamily[]) {
  test(`the guarantees for runs hold in generated scenarios: ${family}`, async (t) => {
    const broken: string[] = []
    for (let seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
      for (const scenario of generateScenario(family, seed)) {
        const lines = await runAndPrint(scenario, (text) => t.log(`seed ${seed}: ${text}`))
        broken.push(...lines.map((line) => `seed ${seed}, ${line}`))
      }
    }
    t.deepEqual(broken, [])
  })
}

if (GIVEN_SCENARIO !== undefined) {
  test('the guarantees for runs hold in the given scenario', async (t) => {
    t.deepEqual(await runAndPrint(JSON.parse(GIVEN_SCENARIO), (text) => t.log(text)), [])
  })
}
