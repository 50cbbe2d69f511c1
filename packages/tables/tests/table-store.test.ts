import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import test from 'ava'
import type { ApplyOutcome } from '../src/apply-outcome.js'
import { decodeStoredTables } from '../src/decode-stored-tables.js'
import { MAX_STORED_TABLES_BYTES } from '../src/stored-tables.js'
import { TableStore } from '../src/table-store.js'
import { buildRouteCells, buildTexts } from './table-fixtures.js'
import { FaultyStore } from './faulty-store.js'

const TEXTS = buildTexts([buildRouteCells()])

function createTableStore (store: FaultyStore, seed: number): { tables: TableStore, clock: FakeClock } {
  const clock = new FakeClock()
  return { tables: new TableStore(store, clock, new SeededRandomSource(seed)), clock }
}

async function applyAs (store: FaultyStore, author: string, expectedRevision: number, texts = TEXTS): Promise<ApplyOutcome> {
  const { tables, clock } = createTableStore(store, author.length)
  return await awaitOutcome(tables.applyTables({ texts, expectedRevision, author }), clock)
}

/** Advances the clock past all backoffs until the outcome is known. */
async function awaitOutcome (pending: Promise<ApplyOutcome>, clock: FakeClock): Promise<ApplyOutcome> {
  const settled = pending.then(() => true)
  for (let step = 0; step < 100; step++) {
    if (await Promise.race([settled, clock.advanceBy(1_000).then(() => false)])) break
  }
  return await pending
}

test('a change is accepted only on the current revision, and a conflict describes both sides', async (t) => {
  const store = new FaultyStore()
  const first = await applyAs(store, 'amina', 0)
  t.like(first, { type: 'accepted', revision: 1 })
  t.like(await applyAs(store, 'amina', 1), { type: 'accepted', revision: 2 })
  t.deepEqual(await applyAs(store, 'bakari', 1), {
    type: 'conflict',
    conflict: {
      currentRevision: 2, currentAuthor: 'amina', currentAppliedAt: '2023-11-14T22:13:20.000Z', expectedRevision: 1, author: 'bakari'
    }
  })
  const stored = (await createTableStore(store, 1).tables.readTables()).unwrap()
  const decoded = decodeStoredTables(stored?.value ?? '', stored?.revision ?? 0).unwrap()
  t.deepEqual([decoded.revision, decoded.texts], [2, TEXTS])
  t.is(first.type === 'accepted' ? first.hash : '', decoded.hash)
})

test('exactly one of several concurrent changes to the same revision is accepted', async (t) => {
  const store = new FaultyStore()
  const outcomes = await Promise.all(['a', 'bb', 'ccc', 'dddd'].map(async (author) => await applyAs(store, author, 0)))
  t.deepEqual(outcomes.map(({ type }) => type).sort(), ['accepted', 'conflict', 'conflict', 'conflict'])
})

test('after a lost response the nonce shows the outcome, whether the commit took effect, was lost or arrives late', async (t) => {
  for (const fault of ['lostReply', 'lostRequest', 'lateRequest'] as const) {
    const store = new FaultyStore()
    store.failNextCommits(fault)
    t.like(await applyAs(store, 'amina', 0), { type: 'accepted', revision: 1 }, fault)
    t.is(store.commitCount, 1, fault)
  }
})

test('repeated lost responses lead to a single write', async (t) => {
  const store = new FaultyStore()
  store.failNextCommits('lostRequest', 'lostRequest', 'lostReply')
  t.like(await applyAs(store, 'amina', 0), { type: 'accepted', revision: 1 })
  t.is(store.commitCount, 1)
})

test('the outcome is unknown when the response was lost and another change is current', async (t) => {
  const store = new FaultyStore()
  store.failNextCommits('lostReply')
  const { tables, clock } = createTableStore(store, 1)
  const pending = tables.applyTables({ texts: TEXTS, expectedRevision: 0, author: 'amina' })
  await Promise.resolve()
  await applyAs(store, 'bakari', 1)
  const outcome = await awaitOutcome(pending, clock)
  t.is(outcome.type, 'unknown')
  t.regex(outcome.type === 'unknown' ? outcome.reason : '', /revision 2 of author "bakari" is now current/)
})

test('when the store is unavailable, the outcome is notApplied only if nothing was sent', async (t) => {
  const store = new FaultyStore()
  store.failNextCommits('unavailable')
  t.deepEqual(await applyAs(store, 'amina', 0), { type: 'notApplied', reason: 'no connection' })
  store.failNextCommits('lostReply')
  store.isReadable = false
  t.like(await applyAs(store, 'amina', 0), { type: 'unknown' })
})

test('tables with findings and tables over the size limit are refused before the store is called', async (t) => {
  const store = new FaultyStore()
  const invalid = await applyAs(store, '', -1, { ...TEXTS, routes: '' })
  t.deepEqual(invalid.type === 'invalid' ? invalid.findings.map(({ place }) => place) : [], ['author', 'expectedRevision', 'routes.csv:1:1'])
  const padded = { ...TEXTS, routes: `#${'x'.repeat(MAX_STORED_TABLES_BYTES)}\n${TEXTS.routes}` }
  t.like(await applyAs(store, 'amina', 0, padded), { type: 'tooLarge', limitBytes: MAX_STORED_TABLES_BYTES })
  t.is(store.commitCount, 0)
})
