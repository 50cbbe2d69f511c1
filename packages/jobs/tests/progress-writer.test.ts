import { SilentEventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import { SilentMetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import { InMemoryStore } from '@hibiscusledge/store/in-memory-store.js'
import test from 'ava'
import { formatProgressKey, formatWriteSequenceKey, OWNER_KEY } from '../src/job-keys.js'
import { ProgressWriter } from '../src/progress-writer.js'
import { createTurnMeter } from './job-fixtures.js'

const SEQUENCE_KEY = formatWriteSequenceKey(0)

interface Fixture {
  readonly clock: FakeClock
  readonly store: InMemoryStore
  readonly writer: ProgressWriter
  readonly values: Map<string, string>
  readonly superseded: string[]
  readonly unstorable: string[]
  readStored: (id: string) => Promise<string | undefined>
}

async function createWriter (): Promise<Fixture> {
  const clock = new FakeClock()
  const store = new InMemoryStore(clock)
  const committed = await store.commitTransaction({
    comparisons: [],
    mutations: [{ type: 'put', key: OWNER_KEY, value: 'me' }, { type: 'put', key: SEQUENCE_KEY, value: '0' }]
  }, 'critical')
  const revision = committed.ok ? committed.val.revision : 0
  const values = new Map<string, string>()
  const superseded: string[] = []
  const unstorable: string[] = []
  const writer = new ProgressWriter({
    clock,
    logger: new SilentEventLogger(),
    metrics: new SilentMetricSink(),
    turns: createTurnMeter(),
    store,
    ownerRevision: revision,
    sequenceKey: SEQUENCE_KEY,
    sequenceRevision: revision,
    writePeriodMs: 15,
    onCommitted: () => {},
    buildMutations: (id) => [{ type: 'put', key: formatProgressKey(id), value: values.get(id) ?? '' }],
    isAuthorized: () => true,
    onSuperseded: () => { superseded.push('superseded') },
    onFailed: () => {},
    onUnstorable: (id) => { unstorable.push(id) }
  })
  const readStored = async (id: string): Promise<string | undefined> => {
    const result = await store.readKey(formatProgressKey(id), 'critical')
    return result.ok ? result.val?.value : undefined
  }
  return { clock, store, writer, values, superseded, unstorable, readStored }
}

test('a callback runs only after all earlier changes are stored', async (t) => {
  const { clock, writer, values, readStored } = await createWriter()
  const seen: (string | undefined)[] = []
  for (let index = 0; index < 70; index++) {
    values.set(`j${index}`, 'first')
    writer.markChanged(`j${index}`)
  }
  let isCalled = false
  writer.runWhenStored(() => { isCalled = true })
  await clock.advanceBy(20)
  t.false(isCalled)
  await clock.advanceBy(200)
  t.true(isCalled)
  for (let index = 0; index < 70; index++) seen.push(await readStored(`j${index}`))
  t.true(seen.every((value) => value === 'first'))
})

test('a write whose answer is lost is detected as carried out, and later writes follow', async (t) => {
  const { clock, store, writer, values, readStored } = await createWriter()
  store.faults.loseNextReplies = 1
  values.set('j0', 'first')
  writer.markChanged('j0')
  await clock.advanceBy(200)
  values.set('j0', 'second')
  writer.markChanged('j0')
  await clock.advanceBy(200)
  t.is(await readStored('j0'), 'second')
})

test('an earlier write that is carried out late does not overwrite a later one', async (t) => {
  const { clock, store, writer, values, readStored } = await createWriter()
  const sequence = await store.readKey(SEQUENCE_KEY, 'critical')
  const owner = await store.readKey(OWNER_KEY, 'critical')
  if (sequence.err || owner.err) return t.fail()
  values.set('j0', 'second')
  writer.markChanged('j0')
  await clock.advanceBy(100)
  const late = await store.commitTransaction({
    comparisons: [
      { key: OWNER_KEY, modRevision: owner.val?.modRevision ?? 0 }, { key: SEQUENCE_KEY, modRevision: sequence.val?.modRevision ?? 0 }
    ],
    mutations: [{ type: 'put', key: formatProgressKey('j0'), value: 'first' }]
  }, 'critical')
  t.true(late.ok && !late.val.isCommitted)
  t.is(await readStored('j0'), 'second')
})

test('an owner that has been replaced writes nothing and is notified', async (t) => {
  const { clock, store, writer, values, superseded, readStored } = await createWriter()
  await store.commitTransaction({ comparisons: [], mutations: [{ type: 'put', key: OWNER_KEY, value: 'other' }] }, 'critical')
  values.set('j0', 'first')
  writer.markChanged('j0')
  await clock.advanceBy(100)
  t.is(await readStored('j0'), undefined)
  t.true(superseded.length > 0)
})

test('changes made while a write is in flight are stored by the next one', async (t) => {
  const { clock, store, writer, values, readStored } = await createWriter()
  store.faults.delayMs = 30
  values.set('j0', 'first')
  writer.markChanged('j0')
  await clock.advanceBy(20)
  values.set('j0', 'second')
  writer.markChanged('j0')
  let isCalled = false
  writer.runWhenStored(() => { isCalled = true })
  await clock.advanceBy(20)
  t.false(isCalled)
  await clock.advanceBy(100)
  t.true(isCalled)
  store.faults.delayMs = 0
  t.is(await readStored('j0'), 'second')
})

// Guards against one rejected record that is written again and again together with the records of other jobs, which wait for it.
test('a record that the store rejects does not hold back those of other jobs', async (t) => {
  const { clock, store, writer, values, unstorable, readStored } = await createWriter()
  store.faults.isRejected = ({ value }) => value === 'poison'
  for (let index = 0; index < 40; index++) {
    values.set(`j${index}`, index === 3 ? 'poison' : 'first')
    writer.markChanged(`j${index}`)
  }
  const stored: string[] = []
  writer.runWhenJobStored('j3', () => { stored.push('j3') })
  writer.runWhenJobStored('j9', () => { stored.push('j9') })
  writer.runWhenStored(() => { stored.push('all') })
  await clock.advanceBy(900)
  for (let index = 0; index < 40; index++) t.is(await readStored(`j${index}`), index === 3 ? undefined : 'first', String(index))
  t.deepEqual(stored, ['j9'])
  t.deepEqual(unstorable, ['j3'])
  values.set('j3', 'second')
  writer.markChanged('j3')
  await clock.advanceBy(500)
  t.is(await readStored('j3'), 'second')
  t.deepEqual([...stored].sort(), ['all', 'j3', 'j9'])
})
