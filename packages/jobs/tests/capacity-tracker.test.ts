import fc from 'fast-check'
import test from 'ava'
import { CapacityTracker, countFitting, normalizeRequest } from '../src/capacity-tracker.js'
import type { Resources } from '../src/job.js'
import { PlacementRound } from '../src/placement-round.js'
import { startCell } from './fake-job-cell.js'
import { createJob, createStep, createWaiting } from './job-fixtures.js'
import { TARGET } from './selector-fixture.js'

const SEED = 20_261_207
const CAPACITY: Resources = { cpuMillis: 16_000, memoryMb: 65_536, accelerators: 4 }

function createMemory (memoryMb: number): Resources {
  return { cpuMillis: 0, memoryMb, accelerators: 0 }
}

// Guards against jobs that never start on idle targets (LOST): of sums and differences of fractions, 7e-12 MB stayed in use.
test('nothing stays in use once all runs with fractional sizes have ended, in whatever order', (t) => {
  const drawThousandths = fc.integer({ min: 0, max: 70_000_000 }).map((thousandths) => thousandths / 1_000)
  const drawAmount = fc.oneof(drawThousandths, fc.double({ min: 0, max: 1e5, noNaN: true }))
  const drawSize = fc.record({ cpuMillis: drawAmount, memoryMb: drawAmount, accelerators: drawAmount })
  fc.assert(fc.property(fc.array(fc.tuple(drawSize, fc.nat()), { maxLength: 40 }), (drawn) => {
    const tracker = new CapacityTracker(CAPACITY)
    const sizes = drawn.map(([size]) => normalizeRequest(size))
    for (const size of sizes) tracker.reserve(size)
    for (const index of [...drawn.keys()].sort((left, right) => (drawn[left]?.[1] ?? 0) - (drawn[right]?.[1] ?? 0))) {
      tracker.release(sizes[index] ?? createMemory(0))
    }
    t.deepEqual(tracker.readFree(), CAPACITY)
  }), { seed: SEED, numRuns: 200 })
})

test('tasks whose fractional sizes fill a capacity exactly fit into it', (t) => {
  t.is(countFitting(createMemory(0.7), createMemory(0.1)), 7)
  t.is(countFitting(createMemory(65_536), createMemory(6_553.6)), 10)
  t.is(countFitting(createMemory(65_536), createMemory(6_553.7)), 9)
  const target = { ...TARGET, capacity: createMemory(0.7), free: createMemory(0.7) }
  for (const isGang of [true, false]) {
    const waiting = createWaiting(createStep({ taskCount: 7, size: createMemory(0.1), isGang }))
    t.is(new PlacementRound(0, [target]).place(waiting).length, 7)
  }
})

// The review's script: three tasks of these sizes run on each target, and then jobs that need the whole memory.
test('jobs that need whole targets run after tasks with fractional sizes', async (t) => {
  const cell = await startCell(1, 4)
  const [only] = cell.instances
  if (only === undefined) return t.fail()
  for (const [index, memoryMb] of [15_493.8, 13_677.1, 19_160.5].entries()) {
    const step = createStep({ taskCount: 4, size: createMemory(memoryMb), maximumPerTarget: 1, estimatedMs: 300 + index * 50 })
    t.is(await cell.submit(only, createJob(`f${index}`, [step])), 'stored')
  }
  await cell.clock.advanceBy(2_000)
  t.is(await cell.submit(only, createJob('whole', [createStep({ taskCount: 4, size: createMemory(64_000) })])), 'stored')
  t.true(await cell.advanceUntil(async () => await cell.readState(only, 'whole') === 'completed', 6_000))
})
