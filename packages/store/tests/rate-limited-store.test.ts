import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import test from 'ava'
import { RateLimitedStore, type StoreRateLimits } from '../src/rate-limited-store.js'
import { InMemoryStore } from '../src/in-memory-store.js'
import type { CallPriority, Transaction } from '../src/key-value-store.js'

function createRateLimitedStore (
  options: Partial<StoreRateLimits> = {}
): { clock: FakeClock, inner: InMemoryStore, store: RateLimitedStore } {
  const clock = new FakeClock()
  const inner = new InMemoryStore(clock)
  const store = new RateLimitedStore(inner, clock, { readsPerSecond: 10, writesPerSecond: 10, maxWaitMs: 60_000, ...options })
  return { clock, inner, store }
}

function createPut (key: string): Transaction {
  return { comparisons: [], mutations: [{ type: 'put', key, value: '' }] }
}

test('a burst of calls reaches the store at the configured rate, because the platform counts every call', async (t) => {
  const { clock, inner, store } = createRateLimitedStore()
  const calls = Array.from({ length: 51 }, (_, index) => store.commitTransaction(createPut(String(index)), 'background'))
  await clock.advanceBy(2_000)
  t.true(inner.counts.writes >= 20 && inner.counts.writes <= 21, `${inner.counts.writes} writes in 2 s`)
  await clock.advanceBy(3_100)
  t.is((await Promise.all(calls)).filter(({ ok }) => ok).length, 51)
  t.deepEqual(store.readCounts().writes, { granted: 51, refused: 0, waiting: 0 })
})

test('critical calls go ahead of waiting background calls, so that many polls do not delay commits', async (t) => {
  const { clock, store } = createRateLimitedStore()
  const order: string[] = []
  const read = (name: string, priority: CallPriority): void => { store.readKey(name, priority).then(() => order.push(name)).catch(t.fail) }
  for (const name of ['first', 'poll 1', 'poll 2']) read(name, 'background')
  read('commit', 'critical')
  await clock.advanceBy(1_000)
  t.deepEqual(order, ['first', 'commit', 'poll 1', 'poll 2'])
})

test('reads do not count towards the rate limit of writes', async (t) => {
  const { clock, store } = createRateLimitedStore()
  for (let index = 0; index < 20; index++) store.readKey('key', 'critical').catch(t.fail)
  t.true((await store.commitTransaction(createPut('key'), 'critical')).ok)
  await clock.advanceBy(2_000)
})

test('a full queue refuses the newest background call for a critical one, and otherwise the call itself, as not sent', async (t) => {
  const { clock, inner, store } = createRateLimitedStore({ maxWaitingCalls: 2 })
  await store.readKey('uses the only token', 'critical')
  const older = store.readKey('older', 'background')
  const newest = store.readKey('newest', 'background')
  const refused = await store.readKey('over the limit', 'background')
  const commit = store.readKey('commit', 'critical')
  const evicted = await newest
  for (const result of [refused, evicted]) {
    t.true(result.err)
    t.like(result.val, { code: 'rateLimited', isEffectUnknown: false })
  }
  await clock.advanceBy(1_000)
  t.true((await commit).ok && (await older).ok)
  t.is(inner.counts.reads, 3)
  t.is(store.readCounts().reads.refused, 2)
})

test('a call that waits longer than maxWaitMs fails as not sent, so that its caller may send it again', async (t) => {
  const { clock, inner, store } = createRateLimitedStore({ readsPerSecond: 0.1, maxWaitMs: 500 })
  await store.readKey('uses the only token', 'critical')
  const late = store.readKey('late', 'critical')
  await clock.advanceBy(500)
  t.like((await late).val, { code: 'rateLimited', isEffectUnknown: false })
  t.is(inner.counts.reads, 1)
})

test('a watch counts as one read however long it stays open, and closing it twice counts once', async (t) => {
  const { clock, inner, store } = createRateLimitedStore()
  const keys: string[] = []
  const watch = store.watchPrefix('a/', 0, {
    onEvents: (events) => { for (const event of events) keys.push(event.type === 'put' ? event.value.key : event.key) },
    onClosed: (reason) => t.fail(reason)
  })
  await clock.advanceBy(5_000)
  t.is(store.readCounts().openWatches, 1)
  await inner.commitTransaction(createPut('a/1'), 'critical')
  await clock.advanceBy(1)
  t.deepEqual(keys, ['a/1'])
  t.is(store.readCounts().reads.granted, 1)
  watch.close()
  watch.close()
  t.is(store.readCounts().openWatches, 0)
  await inner.commitTransaction(createPut('a/2'), 'critical')
  await clock.advanceBy(1)
  t.is(keys.length, 1)
})

test('a raised rate applies to calls that already wait', async (t) => {
  const { clock, store } = createRateLimitedStore({ readsPerSecond: 0.01 })
  await store.readKey('uses the only token', 'critical')
  const waiting = store.readKey('waiting', 'critical')
  store.setRates({ readsPerSecond: 100, writesPerSecond: 10 })
  await clock.advanceBy(20)
  t.true((await waiting).ok)
})

test('a watch passes its batch window on to the store', async (t) => {
  const { clock, inner, store } = createRateLimitedStore()
  const windows: (number | undefined)[] = []
  inner.watchPrefix = (_prefix, _fromRevision, _handler, batchWindowMs?: number) => {
    windows.push(batchWindowMs)
    return { close: () => {} }
  }
  const handler = { onEvents: () => {}, onClosed: () => {} }
  store.watchPrefix('a', 1, handler, 400)
  store.watchPrefix('b', 1, handler)
  await clock.advanceBy(1_000)
  t.deepEqual(windows, [400, undefined])
})
