import { toInstanceId } from '@hibiscusledge/runtime/identifiers.js'
import test from 'ava'
import { formatJobKey } from '../src/job-keys.js'
import { JOB_MESSAGES } from '../src/job-messages.js'
import { encodeJob } from '../src/job-record.js'
import { startCell } from './fake-job-cell.js'
import { createJob, createStep } from './job-fixtures.js'

test('a killed owner is replaced, and its running tasks are not started again', async (t) => {
  const cell = await startCell()
  const owner = cell.findOwner()
  if (owner === undefined) return t.fail()
  t.is(await cell.submit(owner, createJob('aa', [createStep({ taskCount: 4, estimatedMs: 5_000 })])), 'stored')
  await cell.advanceUntil(() => cell.targets.starts.length === 4, 1_000)
  owner.kill()
  t.true(await cell.advanceUntil(() => cell.findOwner() !== undefined, 4_000))
  const [other] = cell.instances
  if (other === undefined) return t.fail()
  t.true(await cell.advanceUntil(async () => await cell.readState(other, 'aa') === 'completed', 10_000))
  t.is(cell.targets.starts.length, 4)
  t.deepEqual(cell.targets.violations, [])
})

test('a cancelled job is stopped and stays cancelled under the next owner', async (t) => {
  const cell = await startCell(2, 2)
  const owner = cell.findOwner()
  if (owner === undefined) return t.fail()
  t.is(await cell.submit(owner, createJob('aa', [createStep({ taskCount: 3, estimatedMs: 8_000 })])), 'stored')
  await cell.advanceUntil(() => cell.targets.starts.length === 3, 1_000)
  const cancelled = owner.service.cancelJob('aa', cell.clock.readMonotonicMs() + 1_000)
  await cell.clock.advanceBy(200)
  t.is(await cancelled, 'stored')
  t.true(await cell.advanceUntil(() => [...cell.targets.targets.values()].every((target) => target.runs.size === 0), 1_000))
  owner.kill()
  t.true(await cell.advanceUntil(() => cell.findOwner() !== undefined, 4_000))
  const [other] = cell.instances
  if (other === undefined) return t.fail()
  t.is(await cell.readState(other, 'aa'), 'cancelled')
  await cell.clock.advanceBy(3_000)
  t.is(cell.targets.starts.length, 3)
})

test('an owner that the store refuses while it serves other instances is replaced within a second', async (t) => {
  const cell = await startCell()
  const owner = cell.findOwner()
  if (owner === undefined) return t.fail()
  t.is(await cell.submit(owner, createJob('aa', [createStep({ taskCount: 2, estimatedMs: 4_000 })])), 'stored')
  await cell.advanceUntil(() => cell.targets.starts.length === 2, 1_000)
  owner.store.setDown(true)
  const isReplaced = await cell.advanceUntil(() => cell.findOwner() !== undefined && cell.findOwner() !== owner, 1_000)
  t.true(isReplaced)
  const [other] = cell.instances.filter((instance) => instance !== owner)
  if (other === undefined) return t.fail()
  t.true(await cell.advanceUntil(async () => await cell.readState(other, 'aa') === 'completed', 8_000))
  t.is(cell.targets.starts.length, 2)
})

test('a job submitted again after it has finished does not run again, also under another owner', async (t) => {
  const cell = await startCell()
  const owner = cell.findOwner()
  if (owner === undefined) return t.fail()
  t.is(await cell.submit(owner, createJob('aa')), 'stored')
  t.true(await cell.advanceUntil(async () => await cell.readState(owner, 'aa') === 'completed', 5_000))
  owner.kill()
  t.true(await cell.advanceUntil(() => cell.findOwner() !== undefined, 4_000))
  const [other] = cell.instances
  if (other === undefined) return t.fail()
  t.is(await cell.submit(other, createJob('aa')), 'stored')
  await cell.clock.advanceBy(2_000)
  t.is(cell.targets.starts.length, 1)
  t.is(await cell.readState(other, 'aa'), 'completed')
})

test('an owner whose process ends is replaced well before its lease expires', async (t) => {
  const cell = await startCell()
  const owner = cell.findOwner()
  await cell.clock.advanceBy(500)
  owner?.kill()
  t.true(await cell.advanceUntil(() => cell.findOwner() !== undefined, 600))
})

test('an owner whose machine loses power is replaced when its lease expires', async (t) => {
  const cell = await startCell()
  const owner = cell.findOwner()
  await cell.clock.advanceBy(500)
  owner?.powerOff()
  t.false(await cell.advanceUntil(() => cell.findOwner() !== undefined, 600))
  t.true(await cell.advanceUntil(() => cell.findOwner() !== undefined, 1_500))
})

// Guards against running a finished job again: an acceptance whose answer was lost was announced to the next owner after the job
// had finished.
test('an announcement that reaches the next owner after the job has finished does not run it again', async (t) => {
  const cell = await startCell()
  const owner = cell.findOwner()
  if (owner === undefined) return t.fail()
  const job = createJob('aa')
  t.is(await cell.submit(owner, job), 'stored')
  const stored = await owner.store.readKey(formatJobKey('aa'), 'critical')
  t.true(await cell.advanceUntil(async () => await cell.readState(owner, 'aa') === 'completed', 8_000))
  owner.kill()
  t.true(await cell.advanceUntil(() => cell.findOwner() !== undefined, 4_000))
  await cell.clock.advanceBy(500)
  const successor = cell.findOwner()
  if (successor === undefined || stored.err || stored.val === undefined) return t.fail()
  const announcement = { record: encodeJob(job), revision: stored.val.modRevision }
  cell.mesh.createNetwork('late').sendNotification(toInstanceId(successor.name), JOB_MESSAGES.announceJob, announcement)
  await cell.clock.advanceBy(3_000)
  t.is(cell.targets.starts.length, 1)
})

// Guards against a change of owner that leaves the targets without an owner for seconds: the store is slow for all instances, so
// that renewals fail, and the calls of the next owner would be as slow.
test('an owner is not replaced by an instance that the store answers slowly', async (t) => {
  const cell = await startCell()
  const owner = cell.findOwner()
  if (owner === undefined) return t.fail()
  for (const instance of cell.instances) if (instance !== owner) instance.store.faults.delayMs = 250
  owner.store.setDown(true)
  await cell.clock.advanceBy(700)
  t.is(cell.findOwner(), owner)
})
