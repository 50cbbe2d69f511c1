import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import { InMemoryStore } from '@hibiscusledge/store/in-memory-store.js'
import test from 'ava'
import { FinishedCleaner } from '../src/finished-cleaner.js'
import { formatCancelKey, formatFinishedKey, OWNER_KEY } from '../src/job-keys.js'

const RETENTION_MS = 120_000
const CLOCK_SKEW_MARGIN_MS = 60_000

async function listFinished (store: InMemoryStore): Promise<string[]> {
  const listing = await store.listPrefix(formatFinishedKey(''), 'background')
  return listing.ok ? listing.val.values.map(({ key }) => key) : []
}

// Guards against deleting a state that callers may still request, and against deletions by an owner that has been replaced.
test('final states are deleted after the retention period, and only by the current owner', async (t) => {
  const clock = new FakeClock()
  const store = new InMemoryStore(clock)
  const nowMs = clock.readWallMs()
  const ages = { old: RETENTION_MS + CLOCK_SKEW_MARGIN_MS + 1, recent: RETENTION_MS, new: 0 }
  const mutations = Object.entries(ages).map(([id, ageMs]) => ({
    type: 'put', key: formatFinishedKey(id), value: JSON.stringify({ version: 1, state: 'completed', finishedAtMs: nowMs - ageMs })
  }) as const)
  const written = await store.commitTransaction({ comparisons: [], mutations: [{ type: 'put', key: OWNER_KEY, value: 'x' }, ...mutations] }, 'critical')
  const revision = written.ok ? written.val.revision : 0
  await new FinishedCleaner(clock, store, revision + 1, RETENTION_MS).removeExpired()
  t.is((await listFinished(store)).length, 3)
  await new FinishedCleaner(clock, store, revision, RETENTION_MS).removeExpired()
  t.deepEqual((await listFinished(store)).sort(), [formatFinishedKey('new'), formatFinishedKey('recent')])
})

// Guards against listings that grow with each job that was completed before its cancellation reached the owner.
test('a cancellation without a job is deleted', async (t) => {
  const clock = new FakeClock()
  const store = new InMemoryStore(clock)
  const keys = ['aa', 'bb'].map(formatCancelKey)
  const mutations = keys.map((key) => ({ type: 'put', key, value: '1' }) as const)
  const written = await store.commitTransaction({ comparisons: [], mutations: [{ type: 'put', key: OWNER_KEY, value: 'x' }, ...mutations] }, 'critical')
  const cleaner = new FinishedCleaner(clock, store, written.ok ? written.val.revision : 0, RETENTION_MS)
  cleaner.recordOrphanedCancellation('aa')
  await cleaner.removeExpired()
  const listing = await store.listPrefix(formatCancelKey(''), 'background')
  t.deepEqual(listing.ok ? listing.val.values.map(({ key }) => key) : undefined, [formatCancelKey('bb')])
})
