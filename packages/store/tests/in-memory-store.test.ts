import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import test from 'ava'
import { InMemoryStore } from '../src/in-memory-store.js'
import type { Transaction } from '../src/key-value-store.js'

const PUT: Transaction = { comparisons: [], mutations: [{ type: 'put', key: 'key', value: 'value' }] }

test('a call with a lost response takes effect, a failed call does not, and each client has its own faults', async (t) => {
  const store = new InMemoryStore(new FakeClock())
  const other = store.createClient()
  store.faults.failNextCalls = 1
  t.like((await store.commitTransaction(PUT, 'critical')).val, { code: 'unavailable', isEffectUnknown: false })
  t.is((await other.readKey('key', 'critical')).unwrap(), undefined)
  store.faults.loseNextReplies = 1
  t.like((await store.commitTransaction(PUT, 'critical')).val, { code: 'timeout', isEffectUnknown: true })
  t.is((await other.readKey('key', 'critical')).unwrap()?.value, 'value')
  t.true((await store.commitTransaction(PUT, 'critical')).ok)
})

test('a delayed call takes effect at the end of its delay, and an outage closes the watches', async (t) => {
  const clock = new FakeClock()
  const store = new InMemoryStore(clock)
  const closures: string[] = []
  store.watchPrefix('', 0, { onEvents: () => {}, onClosed: (reason) => { closures.push(reason) } })
  store.faults.delayMs = 100
  const writing = store.commitTransaction(PUT, 'critical')
  await clock.advanceBy(99)
  t.is((await store.createClient().readKey('key', 'critical')).unwrap(), undefined)
  await clock.advanceBy(1)
  t.true((await writing).ok)
  store.setDown(true)
  t.deepEqual(closures, ['the store went down'])
})

test('a lease that is not renewed expires by the clock of the store, without any call', async (t) => {
  const clock = new FakeClock()
  const store = new InMemoryStore(clock)
  const leaseId = (await store.grantLease(3)).unwrap()
  await store.commitTransaction({ comparisons: [], mutations: [{ type: 'put', key: 'alive', value: '', leaseId }] }, 'critical')
  const deleted: string[] = []
  store.watchPrefix('alive', 0, { onEvents: (events) => { deleted.push(...events.map(({ type }) => type)) }, onClosed: () => t.fail() })
  await clock.advanceBy(2_900)
  t.deepEqual(deleted, [])
  await clock.advanceBy(100)
  t.deepEqual(deleted, ['delete'])
})
