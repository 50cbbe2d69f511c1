import test from 'ava'
import { shouldEvictRun } from '../src/eviction.js'
import type { TaskRun } from '../src/task-run.js'
import { createJob, createRun, createStep } from './job-fixtures.js'
import { FakeJobCell } from './fake-job-cell.js'

const NOW_MS = 10_000

function createLateRun (percent: number, startedAgoMs: number): TaskRun {
  return createRun({ sentAtMs: NOW_MS - startedAgoMs, expectedEndMs: NOW_MS, percent, percentChangedAtMs: NOW_MS })
}

interface Case {
  readonly title: string
  readonly run: TaskRun
  readonly estimatedMs: number
  readonly leavesInMs: number
  readonly expected: boolean
}

const cases: readonly Case[] = [
  { title: 'a run that finishes in time is not evicted', run: createLateRun(50, 1_000), estimatedMs: 2_000, leavesInMs: 2_000, expected: false },
  { title: 'a run that has just started and is too long is evicted', run: createLateRun(0, 100), estimatedMs: 4_000, leavesInMs: 2_000, expected: true },
  { title: 'a run that is slower than its estimate is evicted', run: createLateRun(20, 2_000), estimatedMs: 1_000, leavesInMs: 2_000, expected: true },
  { title: 'a run that is nearly done is not evicted though little time is left', run: createLateRun(95, 3_800), estimatedMs: 4_000, leavesInMs: 800, expected: false },
  {
    title: 'a run of an earlier owner is judged by its estimate',
    run: { ...createLateRun(50, 0), sentAtMs: Number.NEGATIVE_INFINITY },
    estimatedMs: 2_000,
    leavesInMs: 2_000,
    expected: false
  }
]

for (const { title, run, estimatedMs, leavesInMs, expected } of cases) {
  test(title, (t) => { t.is(shouldEvictRun(run, estimatedMs, NOW_MS + leavesInMs, NOW_MS), expected) })
}

// Guards against tasks that are lost when their drained target leaves, and that run again only once its lease has expired.
test('a task that would not finish in time runs elsewhere soon after its target starts draining', async (t) => {
  const cell = new FakeJobCell(2)
  cell.addInstance()
  await cell.advanceUntil(() => cell.findOwner() !== undefined, 2_000)
  await cell.clock.advanceBy(300)
  const [only] = cell.instances
  if (only === undefined) return t.fail()
  t.is(await cell.submit(only, createJob('aa', [createStep({ estimatedMs: 6_000 })])), 'stored')
  t.true(await cell.advanceUntil(() => cell.targets.starts.length === 1, 1_000))
  const leaving = cell.targets.get(cell.targets.starts[0]?.targetId ?? '')
  leaving.isDraining = true
  leaving.remainingMs = 2_000
  t.true(await cell.advanceUntil(() => cell.targets.starts.length === 2, 1_000))
  t.not(cell.targets.starts[1]?.targetId, leaving.id)
  t.true(await cell.advanceUntil(async () => await cell.readState(only, 'aa') === 'completed', 8_000))
  t.deepEqual(cell.targets.violations, [])
})
