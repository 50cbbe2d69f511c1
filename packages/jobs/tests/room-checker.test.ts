import test from 'ava'
import type { JobStep, Resources } from '../src/job.js'
import { RoomChecker } from '../src/room-checker.js'
import type { RunView, TargetView } from '../src/target-view.js'
import { createStep } from './job-fixtures.js'

const CAPACITY: Resources = { cpuMillis: 16_000, memoryMb: 64_000, accelerators: 0 }
const ENDING: RunView = { size: createSize(12_000), expectedEndMs: 5_000 }
const LASTING: RunView = { size: createSize(12_000), expectedEndMs: Number.POSITIVE_INFINITY }

function createSize (cpuMillis: number): Resources {
  return { cpuMillis, memoryMb: 1_000, accelerators: 0 }
}

function createTarget (id: string, runs: readonly RunView[] = [], labels: readonly string[] = []): TargetView {
  return { id, service: 'ledger', rack: 'r1', labels, capacity: CAPACITY, free: CAPACITY, runs }
}

interface Case {
  readonly title: string
  readonly step: Partial<JobStep>
  readonly targets?: readonly TargetView[]
  readonly service?: string
  readonly countByTarget?: ReadonlyMap<string, number>
  readonly permittedIds?: ReadonlySet<string>
  readonly expected: number
}

const cases: readonly Case[] = [
  { title: 'tasks that fit count up to the slots of all targets', step: { taskCount: 9, size: createSize(4_500) }, expected: 6 },
  { title: 'all tasks count if there are more slots', step: { taskCount: 5, size: createSize(4_500) }, expected: 5 },
  { title: 'a gang that fits counts whole', step: { taskCount: 6, size: createSize(4_500), isGang: true }, expected: 6 },
  { title: 'a gang that is too wide does not count', step: { taskCount: 7, size: createSize(4_500), isGang: true }, expected: 0 },
  { title: 'a task that is too large does not count', step: { size: createSize(16_001) }, expected: 0 },
  { title: 'only targets with the label count', step: { taskCount: 9, size: createSize(4_500), requiredLabel: 'b' }, expected: 3 },
  { title: 'without a target of the label nothing counts', step: { requiredLabel: 'c' }, expected: 0 },
  { title: 'without a target of the service nothing counts', step: {}, service: 'other', expected: 0 },
  { title: 'only permitted targets count', step: { taskCount: 9, size: createSize(4_500) }, permittedIds: new Set(['t1']), expected: 3 },
  {
    title: 'the limit on tasks of a target counts those that are there',
    step: { taskCount: 9, size: createSize(1_000), maximumPerTarget: 2 },
    countByTarget: new Map([['t0', 2], ['t1', 1]]),
    expected: 1
  },
  { title: 'runs that end leave room', step: { taskCount: 9, size: createSize(8_000) }, targets: [createTarget('t0', [ENDING])], expected: 2 },
  { title: 'runs that last leave none', step: { taskCount: 9, size: createSize(8_000) }, targets: [createTarget('t0', [LASTING])], expected: 0 },
  {
    title: 'a task that uses idle capacity needs no processor room',
    step: { size: createSize(8_000), usesIdleCapacity: true },
    targets: [createTarget('t0', [LASTING])],
    expected: 1
  }
]

for (const { title, step, targets, service = 'ledger', countByTarget = new Map(), permittedIds, expected } of cases) {
  test(title, (t) => {
    const checker = new RoomChecker(targets ?? [createTarget('t0'), createTarget('t1', [], ['b'])])
    const created = createStep(step)
    t.is(checker.countPlaceable(service, created, created.taskCount, { countByTarget, permittedIds }), expected)
  })
}
