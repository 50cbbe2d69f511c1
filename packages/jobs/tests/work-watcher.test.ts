import { SilentEventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import { InMemoryStore } from '@hibiscusledge/store/in-memory-store.js'
import test from 'ava'
import { formatCancelKey, formatJobKey } from '../src/job-keys.js'
import { WorkWatcher } from '../src/work-watcher.js'
import { startCell } from './fake-job-cell.js'
import { createJob, createStep } from './job-fixtures.js'

async function storeWork (store: InMemoryStore, keys: readonly string[]): Promise<void> {
  await store.commitTransaction({ comparisons: [], mutations: keys.map((key) => ({ type: 'put', key, value: 'x' })) }, 'critical')
}

// Guards against a cancelled job that runs (UNASKED): a listing returned the cancellation before its job, as keys are ordered.
test('a job accepted and cancelled while the watch was closed does not run', async (t) => {
  const cell = await startCell(3, 2)
  const owner = cell.findOwner()
  const [accepting, cancelling] = cell.instances.filter((instance) => instance !== owner)
  if (owner === undefined || accepting === undefined || cancelling === undefined) return t.fail()
  // Without a link to the owner, the job is not announced, and the owner learns of it from the store only.
  cell.mesh.unreachable.add(accepting.name)
  owner.store.closeWatches()
  t.is(await cell.submit(accepting, createJob('aa', [createStep({ estimatedMs: 400 }), createStep({ estimatedMs: 400, after: [0] })])), 'stored')
  const cancelled = cancelling.service.cancelJob('aa', cell.clock.readMonotonicMs() + 1_000)
  await cell.clock.advanceBy(20)
  t.is(await cancelled, 'stored')
  await cell.clock.advanceBy(4_000)
  t.deepEqual(cell.targets.starts, [])
  t.is(await cell.readState(cancelling, 'aa'), 'cancelled')
})

// Guards against the same fault in other orders of keys: the jobs of a listing are applied before its cancellations.
test('the jobs of a listing are handled before its cancellations', async (t) => {
  const clock = new FakeClock()
  const store = new InMemoryStore(clock)
  const handled: string[] = []
  const watcher = new WorkWatcher(clock, new SilentEventLogger(), store, {
    onJob: (id) => { handled.push(`job ${id}`) },
    onCancel: (id) => { handled.push(`cancel ${id}`) }
  })
  watcher.start(1)
  store.closeWatches()
  await storeWork(store, ['aa', 'bb', 'cc'].map(formatJobKey))
  await storeWork(store, ['cc', 'aa'].map(formatCancelKey))
  await clock.advanceBy(500)
  t.deepEqual(handled, ['job aa', 'job bb', 'job cc', 'cancel aa', 'cancel cc'])
  await storeWork(store, [formatCancelKey('bb')])
  await clock.advanceBy(10)
  t.deepEqual(handled.slice(5), ['cancel bb'])
  watcher.stop()
})

// Guards against cancellations that stay in the store for good.
test('a cancellation stored while its job is being completed is deleted by the next cleanup', async (t) => {
  const cell = await startCell(2, 2)
  const owner = cell.findOwner()
  if (owner === undefined) return t.fail()
  t.is(await cell.submit(owner, createJob('aa', [createStep({ estimatedMs: 200 })])), 'stored')
  t.true(await cell.advanceUntil(async () => await cell.readState(owner, 'aa') === 'completed', 4_000))
  await storeWork(cell.store, [formatCancelKey('aa')])
  await cell.clock.advanceBy(61_000)
  const listing = await cell.store.listPrefix(formatCancelKey(''), 'background')
  t.deepEqual(listing.ok ? listing.val.values : undefined, [])
})
