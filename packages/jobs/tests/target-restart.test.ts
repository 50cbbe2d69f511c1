import test from 'ava'
import { startCell } from './fake-job-cell.js'
import { createJob, createStep } from './job-fixtures.js'

const TASK_MS = 2_000

// Guards against running a task twice at the same time (fault soak, seed 101): a task started after a restart of its target and
// before the next poll showed the restart was taken to be lost.
test('a task started on a target that has just restarted under the same id runs once', async (t) => {
  const cell = await startCell(1, 1)
  const [only] = cell.instances
  if (only === undefined) return t.fail()
  await cell.clock.advanceBy(5_000)
  cell.targets.get('t0').restart()
  t.is(await cell.submit(only, createJob('aa', [createStep({ estimatedMs: TASK_MS })])), 'stored')
  t.true(await cell.advanceUntil(async () => await cell.readState(only, 'aa') === 'completed', 12_000))
  t.is(cell.targets.starts.length, 1)
  t.deepEqual(cell.targets.violations, [])
})

// Guards against tasks of the earlier incarnation that are never started again.
test('tasks that were lost in a restart of their target run again', async (t) => {
  const cell = await startCell(1, 1)
  const [only] = cell.instances
  if (only === undefined) return t.fail()
  t.is(await cell.submit(only, createJob('aa', [createStep({ taskCount: 3, estimatedMs: TASK_MS })])), 'stored')
  t.true(await cell.advanceUntil(() => cell.targets.starts.length === 3, 1_000))
  await cell.clock.advanceBy(500)
  cell.targets.get('t0').restart()
  t.true(await cell.advanceUntil(async () => await cell.readState(only, 'aa') === 'completed', 12_000))
  t.is(cell.targets.starts.length, 6)
  t.deepEqual(cell.targets.violations, [])
})
