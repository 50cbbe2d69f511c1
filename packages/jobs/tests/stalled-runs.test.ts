import test from 'ava'
import { FakeJobCell, type FakeInstance } from './fake-job-cell.js'
import type { FakeTarget } from './fake-targets.js'
import { createJob, createStep } from './job-fixtures.js'

/** Makes a task with a duration of one second outlast the outage. */
const SLOWDOWN = 6

/** Starts a cell of one instance and one target, on which a task runs for longer than its estimate. */
async function startLongTask (): Promise<{ cell: FakeJobCell, instance: FakeInstance, target: FakeTarget }> {
  const cell = new FakeJobCell(1)
  const instance = cell.addInstance()
  await cell.advanceUntil(() => cell.findOwner() !== undefined, 2_000)
  await cell.clock.advanceBy(300)
  const target = cell.targets.get('t0')
  target.faults.slowdown = SLOWDOWN
  await cell.submit(instance, createJob('aa'))
  await cell.advanceUntil(() => cell.targets.starts.length === 1, 1_000)
  target.faults.slowdown = 1
  return { cell, instance, target }
}

// Guards against stopping tasks as stalled whose progress was not polled: while the store is unavailable, ended runs can't be
// stored and targets are not polled.
test('a task is not stopped as stalled while its target is not polled', async (t) => {
  const { cell, instance } = await startLongTask()
  t.is(await cell.submit(instance, createJob('bb')), 'stored')
  t.true(await cell.advanceUntil(() => cell.targets.starts.length === 2, 1_000))
  instance.store.setDown(true)
  await cell.clock.advanceBy(4_500)
  instance.store.setDown(false)
  t.true(await cell.advanceUntil(async () => await cell.readState(instance, 'aa') === 'completed', 9_000))
  t.deepEqual(cell.targets.starts.map((start) => start.taskName), ['aa.0.0.0', 'bb.0.0.0'])
})

// Guards against a hanging task that is never stopped.
test('a task without progress is stopped once its estimate has passed', async (t) => {
  const { cell, instance, target } = await startLongTask()
  target.faults.hangs = true
  t.true(await cell.advanceUntil(() => target.runs.size === 0, 4_000))
  target.faults.hangs = false
  t.true(await cell.advanceUntil(async () => await cell.readState(instance, 'aa') === 'completed', 16_000))
})

// Guards against a target that is never used again (review/2): after a stall it was probed only while nothing ran on it.
test('a target on which a task has stalled gets tasks again beside one that lasts', async (t) => {
  const cell = new FakeJobCell(1)
  const instance = cell.addInstance()
  await cell.advanceUntil(() => cell.findOwner() !== undefined, 2_000)
  await cell.clock.advanceBy(300)
  const target = cell.targets.get('t0')
  t.is(await cell.submit(instance, createJob('aa', [createStep({ isLongRunning: true, estimatedMs: 1_000_000 })])), 'stored')
  t.true(await cell.advanceUntil(() => cell.targets.starts.length === 1, 1_000))
  target.faults.hangs = true
  t.is(await cell.submit(instance, createJob('bb')), 'stored')
  t.true(await cell.advanceUntil(() => cell.targets.starts.length === 2, 1_000))
  t.true(await cell.advanceUntil(() => target.runs.size === 1, 4_000))
  target.faults.hangs = false
  t.true(await cell.advanceUntil(async () => await cell.readState(instance, 'bb') === 'completed', 8_000))
})
