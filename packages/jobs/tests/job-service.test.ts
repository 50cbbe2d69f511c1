import test from 'ava'
import { startCell } from './fake-job-cell.js'
import { createJob, createStep } from './job-fixtures.js'

test('a job of two steps runs in order and is shown as completed', async (t) => {
  const cell = await startCell()
  const [first] = cell.instances
  if (first === undefined) return t.fail()
  const job = createJob('aa', [createStep({ taskCount: 3 }), createStep({ taskCount: 2, after: [0] })])
  t.is(await cell.submit(first, job), 'stored')
  t.true(await cell.advanceUntil(async () => await cell.readState(first, 'aa') === 'completed', 6_000))
  const firstOfSecond = cell.targets.starts.find((start) => start.taskName.startsWith('aa.0.1.'))
  const lastOfFirst = cell.targets.starts.filter((start) => start.taskName.startsWith('aa.0.0.')).at(-1)
  t.true((firstOfSecond?.atMs ?? 0) >= (lastOfFirst?.atMs ?? Infinity) + 1_000)
  t.deepEqual(cell.targets.violations, [])
})

test('a job submitted at two instances is accepted and run once', async (t) => {
  const cell = await startCell()
  const [first, second] = cell.instances
  if (first === undefined || second === undefined) return t.fail()
  t.is(await cell.submit(first, createJob('aa')), 'stored')
  t.is(await cell.submit(second, createJob('aa')), 'stored')
  await cell.clock.advanceBy(3_000)
  t.is(cell.targets.starts.length, 1)
})

test('a start order without an answer that is carried out seconds later does not run beside the run that replaced it', async (t) => {
  const cell = await startCell(1, 2)
  const [only] = cell.instances
  if (only === undefined) return t.fail()
  for (const target of cell.targets.targets.values()) target.faults.startDelayMs = 3_000
  t.is(await cell.submit(only, createJob('aa', [createStep({ estimatedMs: 4_000 })])), 'stored')
  await cell.clock.advanceBy(300)
  for (const target of cell.targets.targets.values()) target.faults.startDelayMs = 0
  t.true(await cell.advanceUntil(async () => await cell.readState(only, 'aa') === 'completed', 12_000))
  t.is(cell.targets.starts.length, 1)
  t.deepEqual(cell.targets.violations, [])
})

test('a run whose start answer is lost is found by a poll and not started again', async (t) => {
  const cell = await startCell(1, 2)
  const [only] = cell.instances
  if (only === undefined) return t.fail()
  for (const target of cell.targets.targets.values()) target.faults.losesAnswers = true
  t.is(await cell.submit(only, createJob('aa', [createStep({ estimatedMs: 3_000 })])), 'stored')
  t.true(await cell.advanceUntil(async () => await cell.readState(only, 'aa') === 'completed', 8_000))
  t.is(cell.targets.starts.length, 1)
})

test('tasks of an unreachable target run again elsewhere only after their lease has expired', async (t) => {
  const cell = await startCell(1, 2)
  const [only] = cell.instances
  if (only === undefined) return t.fail()
  t.is(await cell.submit(only, createJob('aa', [createStep({ taskCount: 4, estimatedMs: 9_000 })])), 'stored')
  await cell.advanceUntil(() => cell.targets.starts.length === 4, 1_000)
  const cutId = cell.targets.starts[0]?.targetId ?? ''
  cell.targets.get(cutId).faults.isUnreachable = true
  t.true(await cell.advanceUntil(() => cell.targets.starts.length > 4, 8_000))
  t.true(await cell.advanceUntil(async () => await cell.readState(only, 'aa') === 'completed', 15_000))
  t.deepEqual(cell.targets.violations, [])
})

test('a target restarted under the same id runs no order sent to its earlier incarnation', async (t) => {
  const cell = await startCell(1, 1)
  const [only] = cell.instances
  if (only === undefined) return t.fail()
  await cell.clock.advanceBy(5_000)
  const target = cell.targets.get('t0')
  target.faults.startDelayMs = 1_200
  t.is(await cell.submit(only, createJob('aa', [createStep({ estimatedMs: 2_000 })])), 'stored')
  await cell.clock.advanceBy(200)
  target.restart()
  target.faults.startDelayMs = 0
  t.true(await cell.advanceUntil(async () => await cell.readState(only, 'aa') === 'completed', 12_000))
  t.deepEqual(cell.targets.violations, [])
})

test('a job fails once one of its tasks has failed as often as its queue allows', async (t) => {
  const cell = await startCell(1, 4)
  const [only] = cell.instances
  if (only === undefined) return t.fail()
  cell.targets.failingTasks.add('aa.0.0.1')
  t.is(await cell.submit(only, createJob('aa', [createStep({ taskCount: 2, estimatedMs: 300 })])), 'stored')
  t.true(await cell.advanceUntil(async () => await cell.readState(only, 'aa') === 'failed', 12_000))
  t.is(cell.targets.starts.filter((start) => start.taskName === 'aa.0.0.1').length, 4)
})

test('cancelling or reading a job that was never submitted reports that it is unknown', async (t) => {
  const cell = await startCell(1, 1)
  const [only] = cell.instances
  if (only === undefined) return t.fail()
  const cancelled = only.service.cancelJob('zz', cell.clock.readMonotonicMs() + 1_000)
  await cell.clock.advanceBy(50)
  t.is(await cancelled, 'noSuchJob')
  t.is(await cell.readState(only, 'zz'), undefined)
})

test('while the store is unreachable no job is accepted, and running tasks continue', async (t) => {
  const cell = await startCell(1, 2)
  const [only] = cell.instances
  if (only === undefined) return t.fail()
  t.is(await cell.submit(only, createJob('aa', [createStep({ taskCount: 2, estimatedMs: 6_000 })])), 'stored')
  await cell.advanceUntil(() => cell.targets.starts.length === 2, 1_000)
  only.store.setDown(true)
  t.is(await cell.submit(only, createJob('bb')), 'notStored')
  await cell.clock.advanceBy(1_500)
  only.store.setDown(false)
  t.true(await cell.advanceUntil(async () => await cell.readState(only, 'aa') === 'completed', 12_000))
  t.is(cell.targets.starts.length, 2)
  t.is(await cell.readState(only, 'bb'), undefined)
})

test('an acceptance without an answer from the store finds the job stored on the next attempt', async (t) => {
  const cell = await startCell(1, 2)
  const [only] = cell.instances
  if (only === undefined) return t.fail()
  only.store.faults.loseNextReplies = 1
  t.is(await cell.submit(only, createJob('aa')), 'stored')
  t.true(await cell.advanceUntil(async () => await cell.readState(only, 'aa') === 'completed', 6_000))
  t.is(cell.targets.starts.length, 1)
})

test('no target gets more tasks than its capacity allows while many jobs wait', async (t) => {
  const cell = await startCell(2, 3)
  const [first] = cell.instances
  if (first === undefined) return t.fail()
  const size = { cpuMillis: 4_500, memoryMb: 4_000, accelerators: 0 }
  for (let index = 0; index < 20; index++) await cell.submit(first, createJob(`j${index}`, [createStep({ taskCount: 3, size, estimatedMs: 700 })]))
  t.true(await cell.advanceUntil(async () => await cell.readState(first, 'j19') === 'completed', 20_000))
  t.deepEqual(cell.targets.violations, [])
})

test('an instance that the store refuses has its jobs and cancellations stored by another', async (t) => {
  const cell = await startCell()
  const owner = cell.findOwner()
  const refused = cell.instances.find((instance) => instance !== owner)
  if (owner === undefined || refused === undefined) return t.fail()
  refused.store.setDown(true)
  t.is(await cell.submit(refused, createJob('aa', [createStep({ estimatedMs: 5_000 })])), 'stored')
  t.true(await cell.advanceUntil(() => cell.targets.starts.length === 1, 1_000))
  const cancelled = refused.service.cancelJob('aa', cell.clock.readMonotonicMs() + 1_000)
  await cell.clock.advanceBy(300)
  t.is(await cancelled, 'stored')
  t.is(await cell.readState(owner, 'aa'), 'cancelled')
})

// Guards against instances that relay a job to each other endlessly, and against an unknown outcome although nothing was stored.
test('while the store refuses every instance, a job is refused and its outcome is not unknown', async (t) => {
  const cell = await startCell()
  const [first] = cell.instances
  if (first === undefined) return t.fail()
  for (const instance of cell.instances) instance.store.setDown(true)
  t.is(await cell.submit(first, createJob('aa')), 'notStored')
  for (const instance of cell.instances) instance.store.setDown(false)
  await cell.clock.advanceBy(2_000)
  t.is(cell.targets.starts.length, 0)
})
