import { readFileSync } from 'node:fs'
import { SilentEventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { toIncarnation, toInstanceId } from '@hibiscusledge/runtime/identifiers.js'
import { SilentMetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import { SystemClock } from '@hibiscusledge/runtime/system-clock.js'
import test, { type ExecutionContext } from 'ava'
import { PeerNode } from '../src/peer-node.js'
import { FakeCluster } from './fake-cluster.js'
import { FakeStore, type FakeStoreClient } from './fake-store.js'

test('instances that start together share all partitions within 2 s', async (t) => {
  const cluster = new FakeCluster(1)
  for (const name of ['1', '2', '3']) cluster.start(name)
  const passedMs = await cluster.runUntil(() => cluster.isServedBy(['1', '2', '3']), 2_000)
  t.log(`stable after ${passedMs} ms`)
  t.not(passedMs, undefined)
  t.true(cluster.processes.every(({ node }) => node.ownership.listHeld().length > 0))
  t.deepEqual(cluster.violations, [])
})

test('the units of a killed owner are taken over by the other instances', async (t) => {
  const cluster = new FakeCluster(2)
  const [first] = ['1', '2', '3'].map((name) => cluster.start(name))
  await cluster.run(3_000)
  first?.control.kill()
  const passedMs = await cluster.runUntil(() => cluster.isServedBy(['2', '3']), 8_000)
  t.log(`taken over after ${passedMs} ms`)
  t.not(passedMs, undefined)
  t.deepEqual(cluster.violations, [])
})

const [routes, pools] = ['routes', 'pools'].map((name) => readFileSync(new URL(`../../../../examples/descanso/${name}.csv`, import.meta.url), 'utf8'))

async function startNode (t: ExecutionContext, name: string, store: FakeStoreClient, seeds: readonly string[] = []): Promise<PeerNode> {
  const node = new PeerNode({
    ...{ self: toInstanceId(name), incarnation: toIncarnation('a'), listenHost: '127.0.0.1', listenPort: 0, advertisedAddress: '' },
    ...{ failureDomain: 'd', seedAddresses: seeds, store, clock: new SystemClock(), random: new SeededRandomSource(1) },
    ...{ logger: new SilentEventLogger(), metrics: new SilentMetricSink() }
  })
  await node.start()
  t.teardown(async () => await node.stop())
  return node
}

async function waitFor (condition: () => boolean): Promise<boolean> {
  const endMs = performance.now() + 15_000
  while (!condition() && performance.now() < endMs) await new Promise((resolve) => { setTimeout(resolve, 20) })
  return condition()
}

test('over WebSocket links, an instance that cannot reach the store learns members, owners and tables from its seed', async (t) => {
  const store = new FakeStore(new SystemClock(), new SeededRandomSource(2))
  t.teardown(() => store.stop())
  store.put('hl/tables', JSON.stringify({ routes, pools, nonce: 'n', author: 'a', appliedAt: 1 }))
  const first = await startNode(t, 'first', store.connect())
  t.true(await waitFor(() => first.ownership.listHeld().length === 16 && first.tables.readCurrent() !== undefined))
  const client = store.connect()
  client.isDisconnected = true
  const [seed = ''] = first.members.listMembers().map(({ address }) => address)
  const second = await startNode(t, 'second', client, [seed])
  t.true(await waitFor(() => second.tables.readCurrent()?.revision === first.tables.readCurrent()?.revision))
  t.true(await waitFor(() => second.ownership.listUnits().filter((unit) => second.ownership.findOwner(unit)?.instance === 'first').length === 16))
  t.is(second.readStoreState(), 'unreachable')
  t.deepEqual(second.members.listMembers().map(({ instance, state }) => `${instance} ${state}`), ['first connected', 'second self'])
  client.isDisconnected = false
  t.true(await waitFor(() => second.ownership.listUnits().some((unit) => second.ownership.hasAuthority(unit))))
  await first.drain()
  t.deepEqual(first.ownership.listHeld(), [])
  t.true(await waitFor(() => second.ownership.listUnits().every((unit) => second.ownership.hasAuthority(unit))))
})
