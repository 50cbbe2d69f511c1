import fc from 'fast-check'
import type { StoreFaults } from './faulty-store.js'
import type { LinkFaults } from './faulty-network.js'

/** Time in which jobs are submitted and faults begin. */
export const ACCEPTANCE_WINDOW_MS = 5_000
export const ACCEPTING_INSTANCES = 3
const MAXIMUM_SPELL_MS = 3_000

/** Time in which calls of some instances to the store are hit by faults. */
export interface StoreSpell {
  readonly atMs: number
  readonly durationMs: number
  /** Indexes of the instances. */
  readonly instances: readonly number[]
  readonly faults: StoreFaults
}

/** A job that a caller submits at one instance after the other until it is accepted, or until the attempts are used up. */
export interface SubmissionPlan {
  readonly atMs: number
  /** Index of the instance of each attempt. */
  readonly attempts: readonly number[]
  /** Time that the caller waits for the answer to an attempt. */
  readonly remainingMs: number
}

/** An instance whose process ends. */
export interface EndPlan { readonly atMs: number, readonly instance: number }

/** A test case as plain data. With the same scenario, a run repeats exactly. */
export interface AcceptanceScenario {
  readonly seed: number
  readonly links: LinkFaults
  readonly spells: readonly StoreSpell[]
  readonly submissions: readonly SubmissionPlan[]
  readonly ends: readonly EndPlan[]
}

const atMs = fc.nat({ max: ACCEPTANCE_WINDOW_MS })
const instance = fc.nat({ max: ACCEPTING_INSTANCES - 1 })
const noLinkFaults = fc.constant<LinkFaults>({ lostShare: 0, closedShare: 0, slowShare: 0 })
const linkFaults: fc.Arbitrary<LinkFaults> = fc.record({
  lostShare: fc.constantFrom(0, 0.2), closedShare: fc.constantFrom(0, 0.3), slowShare: fc.constantFrom(0, 0.5)
})
const submission: fc.Arbitrary<SubmissionPlan> = fc.record({
  atMs, attempts: fc.array(instance, { minLength: 1, maxLength: 3 }), remainingMs: fc.constantFrom(500, 1_200, 2_700)
})

function createSpell (faults: fc.Arbitrary<StoreFaults>): fc.Arbitrary<StoreSpell> {
  return fc.record({
    atMs, durationMs: fc.integer({ min: 50, max: MAXIMUM_SPELL_MS }), instances: fc.uniqueArray(instance, { minLength: 1 }), faults
  })
}

const refusals = createSpell(fc.record({
  refusedShare: fc.constantFrom(0.5, 0.85, 1), lostShare: fc.constant(0), slowShare: fc.constant(0)
}))
const losses = createSpell(fc.record({
  refusedShare: fc.constant(0), lostShare: fc.constantFrom(0.35, 1), slowShare: fc.constantFrom(0, 0.3)
}))
const mixed = createSpell(fc.record({
  refusedShare: fc.constantFrom(0, 0.4, 0.85), lostShare: fc.constantFrom(0, 0.35, 0.7), slowShare: fc.constantFrom(0, 0.5)
}))

function createScenario (
  spells: readonly fc.Arbitrary<StoreSpell>[], links: fc.Arbitrary<LinkFaults>, maximumEnds = 0
): fc.Arbitrary<AcceptanceScenario> {
  return fc.record({
    seed: fc.nat({ max: 1_000_000 }),
    links,
    spells: fc.array(fc.oneof(...spells), { minLength: 1, maxLength: 8 }),
    submissions: fc.array(submission, { minLength: 10, maxLength: 60 }),
    ends: fc.array(fc.record({ atMs, instance }), { maxLength: maximumEnds })
  })
}

/** The store refuses most calls of one instance while it loses answers to the others, and callers try that instance only. */
const refusedBesideLosses: fc.Arbitrary<AcceptanceScenario> = fc.record({
  scenario: createScenario([refusals], noLinkFaults),
  refused: instance,
  refusedShare: fc.constantFrom(0.7, 0.85),
  lostShare: fc.constantFrom(0.35, 0.7)
}).map(({ scenario, refused, refusedShare, lostShare }) => ({
  ...scenario,
  spells: Array.from({ length: ACCEPTING_INSTANCES }, (_, index): StoreSpell => ({
    atMs: 0,
    durationMs: ACCEPTANCE_WINDOW_MS,
    instances: [index],
    faults: index === refused ? { refusedShare, lostShare: 0, slowShare: 0 } : { refusedShare: 0, lostShare, slowShare: 0 }
  })),
  submissions: scenario.submissions.map((plan) => ({ ...plan, attempts: [refused] }))
}))

/** Generators of scenarios by the kinds of faults that they contain. */
export const ACCEPTANCE_FAMILIES = {
  refusals: createScenario([refusals], noLinkFaults),
  losses: createScenario([losses], noLinkFaults),
  refusedBesideLosses,
  refusalsAndLosses: createScenario([refusals, losses, mixed], noLinkFaults),
  brokenLinks: createScenario([refusals, losses, mixed], linkFaults),
  endingInstances: createScenario([refusals, losses, mixed], linkFaults, 2)
} as const
export type AcceptanceFamily = keyof typeof ACCEPTANCE_FAMILIES
