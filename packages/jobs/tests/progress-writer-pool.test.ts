import { SilentEventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import { SilentMetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import { InMemoryStore } from '@hibiscusledge/store/in-memory-store.js'
import test from 'ava'
import { formatProgressKey, formatWriteSequenceKey, OWNER_KEY } from '../src/job-keys.js'
import { PROGRESS_WRITER_COUNT, ProgressWriterPool } from '../src/progress-writer-pool.js'

interface Fixture {
  readonly clock: FakeClock
  readonly store: InMemoryStore
  readonly lanes: ProgressWriterPool
  readonly values: Map<string, string>
}

async function createLanes (): Promise<Fixture> {
  const clock = new FakeClock()
  const store = new InMemoryStore(clock)
  const sequences = Array.from({ length: PROGRESS_WRITER_COUNT }, (_, lane) => ({ type: 'put', key: formatWriteSequenceKey(lane), value: '0' }) as const)
  const committed = await store.commitTransaction({ comparisons: [], mutations: [{ type: 'put', key: OWNER_KEY, value: 'me' }, ...sequences] }, 'critical')
  const revision = committed.ok ? committed.val.revision : 0
  const values = new Map<string, string>()
  const lanes = new ProgressWriterPool({
    clock,
    logger: new SilentEventLogger(),
    metrics: new SilentMetricSink(),
    store,
    ownerRevision: revision,
    sequenceRevision: revision,
    writePeriodMs: 25,
    buildMutations: (id) => [{ type: 'put', key: formatProgressKey(id), value: values.get(id) ?? '' }],
    isAuthorized: () => true,
    onSuperseded: () => {},
    onFailed: () => {}
  }, formatWriteSequenceKey)
  return { clock, store, lanes, values }
}

// A slow store during a burst: one transaction of 29 records every 200 ms holds up every start behind it.
test('in a burst while the store is slow, several transactions are under way at once', async (t) => {
  const { clock, store, lanes, values } = await createLanes()
  store.faults.delayMs = 200
  lanes.markChanged('first')
  await clock.advanceBy(150)
  for (let index = 0; index < 100; index++) {
    values.set(`j${index}`, 'x')
    lanes.markChanged(`j${index}`)
  }
  let isStored = false
  lanes.runWhenStored(() => { isStored = true })
  await clock.advanceBy(500)
  t.true(isStored)
})

// Pattern: a slow store, with a transaction of each lane under way since another moment. Guards against starts that wait for
// the intents of other jobs.
test('what waits for one job does not wait for the lanes of others', async (t) => {
  const { clock, store, lanes, values } = await createLanes()
  store.faults.delayMs = 300
  for (const id of ['first', 'second', 'third']) {
    values.set(id, 'x')
    lanes.markChanged(id)
    await clock.advanceBy(100)
  }
  let isStored = false
  lanes.runWhenJobStored('second', () => { isStored = true })
  await clock.advanceBy(130)
  t.true(isStored)
})

test('the changes of one job keep their order', async (t) => {
  const { clock, store, lanes, values } = await createLanes()
  store.faults.delayMs = 200
  for (let round = 0; round < 10; round++) {
    for (let index = 0; index < 40; index++) {
      values.set(`j${index}`, String(round))
      lanes.markChanged(`j${index}`)
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

test('while the store is quick, one transaction at a time is enough', async (t) => {
  const { clock, store, lanes, values } = await createLanes()
  store.faults.delayMs = 5
  const before = store.counts.writes
  for (let index = 0; index < 25; index++) {
    values.set(`j${index}`, 'x')
    lanes.markChanged(`j${index}`)
  }
  await clock.advanceBy(200)
  t.is(store.counts.writes - before, 1)
})
