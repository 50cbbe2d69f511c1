import test from 'ava'
import { ExpectedCapacity } from '../src/targets/expected-capacity.js'
import type { JobStep, Resources } from '../src/job.js'
import { StepProgress } from '../src/step-progress.js'
import type { RunView, TargetView } from '../src/target-view.js'
import { createRun, createStep } from './job-fixtures.js'

const NOW_MS = 50_000
const CAPACITY: Resources = { cpuMillis: 16_000, memoryMb: 64_000, accelerators: 0 }
const NONE: ReadonlySet<string> = new Set()

function createSize (cpuMillis: number): Resources {
  return { cpuMillis, memoryMb: 1_000, accelerators: 0 }
}

/** Creates a run that fills a target but for a quarter. */
function createRunView (values: Partial<RunView>): RunView {
  return { size: createSize(12_000), expectedEndMs: NOW_MS + 1_000, ...values }
}

function createTarget (id: string, runs: readonly RunView[], labels: readonly string[] = []): TargetView {
  const used = runs.reduce((sum, run) => sum + run.size.cpuMillis, 0)
  return { id, service: 'ledger', rack: 'r1', labels, capacity: CAPACITY, free: { ...CAPACITY, cpuMillis: CAPACITY.cpuMillis - used }, runs }
}

function createExpected (targets: readonly TargetView[]): ExpectedCapacity {
  return new ExpectedCapacity(NOW_MS, new Map(targets.map((target) => [target.id, target])))
}

interface Case { readonly title: string, readonly runs: readonly RunView[], readonly step?: Partial<JobStep>, readonly expected: number }

const cases: readonly Case[] = [
  { title: 'an empty target offers its capacity', runs: [], expected: 4 },
  { title: 'a run that ends soon gives its capacity back', runs: [createRunView({})], expected: 4 },
  { title: 'a run that lasts gives nothing back', runs: [createRunView({ expectedEndMs: Number.POSITIVE_INFINITY })], expected: 1 },
  { title: 'a run that ends in an hour gives nothing back to a short task', runs: [createRunView({ expectedEndMs: NOW_MS + 3_600_000 })], expected: 1 },
  {
    title: 'a task waits in proportion to its own estimate',
    runs: [createRunView({ expectedEndMs: NOW_MS + 60_000 })],
    step: { estimatedMs: 40_000 },
    expected: 4
  },
  {
    title: 'the estimate of a task that lasts lengthens no wait',
    runs: [createRunView({ expectedEndMs: NOW_MS + 60_000 })],
    step: { estimatedMs: 40_000, isLongRunning: true },
    expected: 1
  },
  { title: 'a run that is a little overdue gives its capacity back', runs: [createRunView({ overdueMs: 4_000 })], expected: 4 },
  { title: 'a run that is far overdue gives nothing back', runs: [createRunView({ overdueMs: 11_000 })], expected: 1 },
  {
    title: 'runs are judged one by one',
    runs: [createRunView({ size: createSize(8_000) }), createRunView({ size: createSize(8_000), expectedEndMs: Number.POSITIVE_INFINITY })],
    expected: 2
  }
]

for (const { title, runs, step, expected } of cases) {
  test(title, (t) => {
    t.is(createExpected([createTarget('t0', runs)]).countSlots('t0', createStep({ size: createSize(4_000), ...step })), expected)
  })
}

test('a pool is mostly idle while more than half of its processor capacity is free', (t) => {
  const full = createTarget('t0', [createRunView({})])
  t.true(createExpected([full, createTarget('t1', [])]).isMostlyIdle('ledger'))
  t.false(createExpected([full]).isMostlyIdle('ledger'))
  t.false(createExpected([]).isMostlyIdle('ledger'))
})

test('a target that is not usable is expected to hold nothing', (t) => {
  t.is(createExpected([]).countSlots('t0', createStep()), 0)
})

test('only targets with the label that are not excluded count', (t) => {
  const expected = createExpected([createTarget('t0', [], ['a']), createTarget('t1', [], ['b'])])
  const step = new StepProgress('aa', 0, 0, createStep({ requiredLabel: 'a' }))
  t.true(expected.hasSlots(step, ['t0', 't1'], NONE))
  t.false(expected.hasSlots(step, ['t1'], NONE))
  t.false(expected.hasSlots(step, ['t0', 't1'], new Set(['t0'])))
})

test('a gang needs slots for all its tasks', (t) => {
  const expected = createExpected([createTarget('t0', []), createTarget('t1', [createRunView({ expectedEndMs: Number.POSITIVE_INFINITY })])])
  const createGang = (taskCount: number): StepProgress => new StepProgress('aa', 0, 0, createStep({ taskCount, isGang: true, size: createSize(4_000) }))
  t.true(expected.hasSlots(createGang(5), ['t0', 't1'], NONE))
  t.false(expected.hasSlots(createGang(6), ['t0', 't1'], NONE))
})

// Guards against a task that waits for ever on a target which already runs as many tasks of its step as it may.
test('tasks that last use up the limit on tasks of a target', (t) => {
  const expected = createExpected([createTarget('t0', [])])
  const step = new StepProgress('aa', 0, 0, createStep({ taskCount: 2, maximumPerTarget: 1, isLongRunning: true }))
  t.true(expected.hasSlots(step, ['t0'], NONE))
  step.addRun(0, createRun({ targetId: 't0' }))
  t.false(expected.hasSlots(step, ['t0'], NONE))
})
