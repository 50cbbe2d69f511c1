import { SilentEventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import { SilentMetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import { InMemoryStore } from '@hibiscusledge/store/in-memory-store.js'
import test from 'ava'
import { formatProgressKey, formatWriteSequenceKey, OWNER_KEY } from '../src/job-keys.js'
import { PROGRESS_WRITER_COUNT, ProgressWriterPool } from '../src/progress-writer-pool.js'
import { createTurnMeter } from './job-fixtures.js'

interface Fixture {
  readonly clock: FakeClock
  readonly store: InMemoryStore
  readonly pool: ProgressWriterPool
  readonly values: Map<string, string>
}

async function createPool (): Promise<Fixture> {
  const clock = new FakeClock()
  const store = new InMemoryStore(clock)
  const sequences = Array.from({ length: PROGRESS_WRITER_COUNT }, (_, writer) => ({ type: 'put', key: formatWriteSequenceKey(writer), value: '0' }) as const)
  const committed = await store.commitTransaction({ comparisons: [], mutations: [{ type: 'put', key: OWNER_KEY, value: 'me' }, ...sequences] }, 'critical')
  const revision = committed.ok ? committed.val.revision : 0
  const values = new Map<string, string>()
  const pool = new ProgressWriterPool({
    clock,
    logger: new SilentEventLogger(),
    metrics: new SilentMetricSink(),
    turns: createTurnMeter(),
    store,
    ownerRevision: revision,
    sequenceRevision: revision,
    writePeriodMs: 25,
    buildMutations: (id) => [{ type: 'put', key: formatProgressKey(id), value: values.get(id) ?? '' }],
    isAuthorized: () => true,
    onSuperseded: () => {},
    onFailed: () => {},
    onUnstorable: () => {}
  }, formatWriteSequenceKey)
  return { clock, store, pool, values }
}

// A slow store during a burst. Guards against a single writer, whose one transaction of 29 records every 200 ms delays all starts.
test('in a burst on a slow store several transactions are in flight at once', async (t) => {
  const { clock, store, pool, values } = await createPool()
  store.faults.delayMs = 200
  pool.markChanged('first')
  await clock.advanceBy(150)
  for (let index = 0; index < 100; index++) {
    values.set(`j${index}`, 'x')
    pool.markChanged(`j${index}`)
  }
  let isStored = false
  pool.runWhenStored(() => { isStored = true })
  await clock.advanceBy(500)
  t.true(isStored)
})

// A slow store with transactions of several writers in flight that began at different times. Guards against starts that wait for
// the intents of other jobs.
test('a callback for one job does not wait for the writers of other jobs', async (t) => {
  const { clock, store, pool, values } = await createPool()
  store.faults.delayMs = 300
  for (const id of ['first', 'second', 'third']) {
    values.set(id, 'x')
    pool.markChanged(id)
    await clock.advanceBy(100)
  }
  let isStored = false
  pool.runWhenJobStored('second', () => { isStored = true })
  await clock.advanceBy(130)
  t.true(isStored)
})

test('the writes of one job keep their order', async (t) => {
  const { clock, store, pool, values } = await createPool()
  store.faults.delayMs = 200
  for (let round = 0; round < 10; round++) {
    for (let index = 0; index < 40; index++) {
      values.set(`j${index}`, String(round))
      pool.markChanged(`j${index}`)
    }
    await clock.advanceBy(70)
  }
  await clock.advanceBy(3_000)
  store.faults.delayMs = 0
  for (let index = 0; index < 40; index++) {
    const value = await store.readKey(formatProgressKey(`j${index}`), 'critical')
    t.is(value.ok ? value.val?.value : undefined, '9')
  }
})

test('on a fast store the changes of many jobs are written in one transaction', async (t) => {
  const { clock, store, pool, values } = await createPool()
  store.faults.delayMs = 5
  const before = store.counts.writes
  for (let index = 0; index < 25; index++) {
    values.set(`j${index}`, 'x')
    pool.markChanged(`j${index}`)
  }
  await clock.advanceBy(200)
  t.is(store.counts.writes - before, 1)
})

test('a fencing token is the revision of a transaction, without a call if one was written since', async (t) => {
  const { clock, store, pool } = await createPool()
  const firstToken = pool.readNewestToken()
  pool.markChanged('j0')
  await clock.advanceBy(50)
  const { writes } = store.counts
  t.true(pool.readNewestToken() > firstToken)
  let isIssued = false
  pool.requestTokenAbove(firstToken, () => { isIssued = true })
  t.true(isIssued)
  t.is(store.counts.writes, writes)
})

test('a fencing token is issued while there is no progress to write, with one transaction for all requests', async (t) => {
  const { clock, store, pool } = await createPool()
  const token = pool.readNewestToken()
  const { writes } = store.counts
  let issued = 0
  for (let request = 0; request < 5; request++) pool.requestTokenAbove(token, () => { issued++ })
  t.is(issued, 0)
  await clock.advanceBy(100)
  t.is(issued, 5)
  t.true(pool.readNewestToken() > token)
  t.is(store.counts.writes, writes + 1)
})

test('a fencing token is issued once the store answers again', async (t) => {
  const { clock, store, pool } = await createPool()
  store.setDown(true)
  let isIssued = false
  pool.requestTokenAbove(pool.readNewestToken(), () => { isIssued = true })
  await clock.advanceBy(1_000)
  t.false(isIssued)
  store.setDown(false)
  await clock.advanceBy(200)
  t.true(isIssued)
})

// Guards against an earlier owner whose orders a target prefers to those of the present one.
test('the revision of the next owner is higher than each token of this one', async (t) => {
  const { clock, store, pool } = await createPool()
  pool.requestTokenAbove(pool.readNewestToken(), () => {})
  store.faults.delayMs = 30
  for (let index = 0; index < 20; index++) {
    pool.markChanged(`j${index}`)
    await clock.advanceBy(10)
  }
  store.faults.delayMs = 0
  const taken = await store.commitTransaction({ comparisons: [], mutations: [{ type: 'put', key: OWNER_KEY, value: 'other' }] }, 'critical')
  const nextToken = taken.ok ? taken.val.revision : 0
  pool.markChanged('late')
  pool.requestTokenAbove(pool.readNewestToken(), () => {})
  await clock.advanceBy(500)
  t.true(pool.readNewestToken() < nextToken, `${pool.readNewestToken()} and ${nextToken}`)
})
