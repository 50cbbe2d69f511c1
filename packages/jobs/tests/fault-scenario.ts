import fc from 'fast-check'
import type { Restart } from './simulated-fleet.js'
import { NO_NETWORK_FAULTS, type NetworkFaults } from './simulated-network.js'

/** Time in which jobs are submitted and faults begin. */
export const FAULT_WINDOW_MS = 6_000
const MAXIMUM_TARGETS = 3

export interface JobPlan {
  readonly atMs: number
  readonly taskCount: number
  readonly durationMs: number
  readonly cpuMillis: number
}

/** A fault that begins at a time of the scenario. */
export type FaultPlan = { readonly atMs: number, readonly target: number } & (
  | ({ readonly kind: 'restart' } & Restart)
  | { readonly kind: 'unlist', readonly durationMs: number }
  | { readonly kind: 'cut', readonly durationMs: number }
)

/** A test case as plain data. With the same scenario, a run repeats exactly. */
export interface Scenario {
  /** Seed of what is drawn for each call, each stop and each clock. */
  readonly seed: number
  readonly instanceCount: number
  readonly targetCount: number
  readonly checksCapacity: boolean
  /** Faults of all calls to targets until the window is over. */
  readonly network: NetworkFaults
  readonly jobs: readonly JobPlan[]
  readonly faults: readonly FaultPlan[]
}

/** Times are close to multiples of this period, so that faults and submissions often coincide. */
const MOMENT_PERIOD_MS = 500
const timeArbitrary = fc.tuple(fc.nat({ max: FAULT_WINDOW_MS / MOMENT_PERIOD_MS }), fc.nat({ max: 100 }))
  .map(([moment, offsetMs]) => moment * MOMENT_PERIOD_MS + offsetMs)
const targetArbitrary = fc.nat({ max: MAXIMUM_TARGETS - 1 })

const jobArbitrary: fc.Arbitrary<JobPlan> = fc.record({
  atMs: timeArbitrary,
  taskCount: fc.integer({ min: 1, max: 5 }),
  durationMs: fc.oneof({ weight: 2, arbitrary: fc.integer({ min: 20, max: 200 }) }, { weight: 1, arbitrary: fc.constant(3_000) }),
  cpuMillis: fc.constantFrom(500, 1_000, 2_000)
})

const restartArbitrary: fc.Arbitrary<FaultPlan> = fc.record({
  kind: fc.constant('restart' as const),
  atMs: timeArbitrary,
  target: targetArbitrary,
  downMs: fc.oneof(fc.nat({ max: 50 }), fc.nat({ max: 2_000 })),
  wallStepMs: fc.constant(0),
  hasMoved: fc.constant(false),
  listingLagMs: fc.integer({ min: 0, max: 500 })
})

const delayArbitrary: fc.Arbitrary<NetworkFaults> = fc.record({
  slowShare: fc.constantFrom(0.2, 0.5), maximumDelayMs: fc.constantFrom(60, 450), lossShare: fc.constant(0), lateShare: fc.constant(0)
})

function createScenarioArbitrary (network: fc.Arbitrary<NetworkFaults>, faults: fc.Arbitrary<FaultPlan>): fc.Arbitrary<Scenario> {
  return fc.record({
    seed: fc.nat({ max: 1_000_000 }),
    instanceCount: fc.constant(2),
    targetCount: fc.integer({ min: 1, max: MAXIMUM_TARGETS }),
    checksCapacity: fc.boolean(),
    network,
    jobs: fc.array(jobArbitrary, { minLength: 4, maxLength: 16 }),
    faults: fc.array(faults, { minLength: 1, maxLength: 8 })
  })
}

/** Generators of scenarios by the kinds of faults that they contain. */
export const SCENARIO_FAMILIES = {
  none: createScenarioArbitrary(fc.constant(NO_NETWORK_FAULTS), restartArbitrary).map((scenario) => ({ ...scenario, faults: [] })),
  restarts: createScenarioArbitrary(fc.constant(NO_NETWORK_FAULTS), restartArbitrary),
  restartsAndDelays: createScenarioArbitrary(delayArbitrary, restartArbitrary)
} as const
export type ScenarioFamily = keyof typeof SCENARIO_FAMILIES
