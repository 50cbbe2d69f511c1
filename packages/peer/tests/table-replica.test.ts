import { toIncarnation, toInstanceId } from '@hibiscusledge/runtime/identifiers.js'
import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import { SilentEventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { SilentMetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import type { TableSet, TableSources } from '@hibiscusledge/tables/table-set.js'
import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import test from 'ava'
import fc from 'fast-check'
import { StoreCache } from '../src/store-cache.js'
import { TableReplica } from '../src/table-replica.js'
import { FakeNetwork, FakeSwitch } from './fake-network.js'
import { FakeStore } from './fake-store.js'
import { ProcessControl } from './process-control.js'

/** Parser that accepts all routes except `bad`. */
function parseFake (texts: TableSources, revision: number): Result<TableSet, readonly []> {
  return texts.routes === 'bad' ? Err([]) : Ok({ revision, hash: texts.routes, texts, routes: [], pools: [] })
}

interface Fixture {
  readonly replica: TableReplica
  readonly store: FakeStore
  readonly clock: FakeClock
  readonly cache: StoreCache
  readonly networkSwitch: FakeSwitch
}

function createReplica (clock = new FakeClock(), name = 'a', networkSwitch = new FakeSwitch(clock)): Fixture {
  const store = new FakeStore(clock, new SeededRandomSource(1))
  const cache = new StoreCache(store.connect(), clock, new SilentEventLogger(), ['hl/tables'], 2_000)
  const network = new FakeNetwork(networkSwitch, { instance: toInstanceId(name), incarnation: toIncarnation(`${name}1`) }, new ProcessControl(clock))
  const replica = new TableReplica(network, cache, new SilentEventLogger(), new SilentMetricSink(), parseFake)
  return { replica, store, clock, cache, networkSwitch }
}

const encode = (routes: string): string => JSON.stringify({ routes, pools: '', nonce: 'n', author: 'a', appliedAt: 1 })

test('tables never return to an older revision, in whatever order values arrive', (t) => {
  fc.assert(fc.property(fc.array(fc.record({ revision: fc.integer({ min: 1, max: 30 }), isBad: fc.boolean() })), (values) => {
    const { replica } = createReplica()
    const seen: number[] = []
    replica.subscribe(({ revision }) => { seen.push(revision) })
    for (const { revision, isBad } of values) replica.applyValue(encode(isBad ? 'bad' : 'good'), revision)
    t.deepEqual(seen, [...new Set(seen)].sort((left, right) => left - right))
    t.is(replica.readCurrent()?.revision, seen.at(-1))
  }), { seed: 12, numRuns: 200 })
})

test('after a stored value that cannot be parsed, the last valid tables stay current', async (t) => {
  const { replica, store, clock, cache } = createReplica()
  cache.start()
  for (const value of [encode('first'), encode('bad'), '{', encode('second')]) {
    store.put('hl/tables', value)
    await clock.advanceBy(2_500)
    t.is(replica.readCurrent()?.texts.routes, value === encode('second') ? 'second' : 'first')
  }
})

test('a replica that cannot reach the store fetches a newer revision from a peer, in several chunks', async (t) => {
  const first = createReplica()
  const second = createReplica(first.clock, 'b', first.networkSwitch)
  first.replica.applyValue(encode('x'.repeat(900_000)), 7)
  void second.replica.receiveGossip({ instance: toInstanceId('a'), incarnation: toIncarnation('a1') }, 7)
  await first.clock.advanceBy(100)
  t.is(second.replica.readCurrent()?.revision, 7)
  t.is(second.replica.readCurrent()?.texts.routes.length, 900_000)
})
