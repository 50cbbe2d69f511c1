import test from 'ava'
import { PlacementRound } from '../src/placement-round.js'
import type { TargetView } from '../src/target-view.js'
import { DemandLimiter } from '../src/demand-limiter.js'
import { createStep, createWaiting } from './job-fixtures.js'

const CPU_MILLIS = 16_000
const TARGET_COUNT = 33
const BACKLOG_STEPS = 5_000

function createFullTargets (): TargetView[] {
  const size = { cpuMillis: CPU_MILLIS, memoryMb: 64_000, accelerators: 0 }
  return Array.from({ length: TARGET_COUNT }, (_, index) => ({
    id: `t${index}`,
    service: 'ledger',
    rack: 'r1',
    labels: [],
    capacity: size,
    free: { ...size, cpuMillis: 500 },
    runs: [{ size: { ...size, cpuMillis: CPU_MILLIS - 500 }, expectedEndMs: 5_000 }]
  }))
}

// A large backlog of short tasks while all targets are full. Guards against rounds whose duration grows with the backlog.
test('a round considers no more work than could fill the targets twice', (t) => {
  const limiter = new DemandLimiter(createFullTargets())
  let considered = 0
  for (let step = 0; step < BACKLOG_STEPS; step++) {
    if (limiter.isLimitReached('ledger')) continue
    limiter.add('ledger', 2 * 1_400)
    considered++
  }
  t.true(considered <= Math.ceil(2 * TARGET_COUNT * CPU_MILLIS / 2_800), String(considered))
  t.true(considered > 0)
})

test('work of a service without targets is not considered', (t) => {
  t.true(new DemandLimiter(createFullTargets()).isLimitReached('elsewhere'))
})

// All targets are full. Guards against checking for each waiting step and each target whether the policy permits it.
test('a step that fits on no target is skipped without reading its permitted targets', (t) => {
  const round = new PlacementRound(1_000, createFullTargets())
  let reads = 0
  const waiting = createWaiting(createStep({ size: { cpuMillis: 1_400, memoryMb: 100, accelerators: 0 } }))
  Object.defineProperty(waiting, 'permittedIds', {
    get: () => {
      reads++
      return ['t0']
    }
  })
  t.deepEqual(round.place(waiting), [])
  t.is(reads, 0)
})
