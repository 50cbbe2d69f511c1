import { EtcdGatewayStore } from '@hibiscusledge/store/etcd-gateway-store.js'
import { InMemoryStore } from '@hibiscusledge/store/in-memory-store.js'
import type { KeyValueStore, Mutation, WatchEvent } from '@hibiscusledge/store/key-value-store.js'
import { SystemClock } from '@hibiscusledge/runtime/system-clock.js'
import test, { type ExecutionContext } from 'ava'
import { StoreStandIn } from '../src/store-stand-in.js'
import { waitFor } from './wait-for.js'

// Other packages test with the in-memory store, so it must pass the same cases as the etcd adapter.

/** Longer than the calls during which the lease must stay valid, also on a machine that stalls for up to two seconds. */
const LEASE_SECONDS = 4

const STORE_FACTORIES: Readonly<Record<string, (t: ExecutionContext) => Promise<KeyValueStore>>> = {
  InMemoryStore: async () => new InMemoryStore(new SystemClock()),
  'EtcdGatewayStore with the stand-in': async (t) => {
    const clock = new SystemClock()
    const standIn = new StoreStandIn({ clock })
    const { store: address } = await standIn.start()
    const store = new EtcdGatewayStore({ endpoints: [`http://${address}`], clock, requestTimeoutMs: 20_000 })
    t.teardown(async () => {
      await store.close()
      await standIn.stop()
    })
    return store
  }
}

async function commit (store: KeyValueStore, mutations: Mutation[], comparisons: Array<{ key: string, modRevision: number }> = []) {
  return (await store.commitTransaction({ comparisons, mutations }, 'critical')).unwrap()
}

async function listKeys (store: KeyValueStore, prefix: string): Promise<string[]> {
  return (await store.listPrefix(prefix, 'critical')).unwrap().values.map(({ key }) => key)
}

for (const [name, createStore] of Object.entries(STORE_FACTORIES)) {
  test(`${name}: reads return a value exactly as it was written, with any characters`, async (t) => {
    const store = await createStore(t)
    t.is((await store.readKey('ключ/€', 'critical')).unwrap(), undefined)
    const value = '{"text":"ümläut \u0000 \n 字 😀"}'
    const { revision } = await commit(store, [{ type: 'put', key: 'ключ/€', value }, { type: 'put', key: 'empty', value: '' }])
    const expected = { key: 'ключ/€', value, createRevision: revision, modRevision: revision, leaseId: '' }
    t.deepEqual((await store.readKey('ключ/€', 'critical')).unwrap(), expected)
    t.is((await store.readKey('empty', 'critical')).unwrap()?.value, '')
  })

  test(`${name}: a transaction takes effect completely or not at all`, async (t) => {
    const store = await createStore(t)
    const first = await commit(store, [{ type: 'put', key: 'a', value: '1' }], [{ key: 'a', modRevision: 0 }])
    t.true(first.isCommitted)
    const lost = await commit(store, [{ type: 'put', key: 'a', value: '2' }, { type: 'put', key: 'b', value: '2' }], [
      { key: 'b', modRevision: 0 }, { key: 'a', modRevision: 0 }
    ])
    t.false(lost.isCommitted)
    t.deepEqual(await listKeys(store, ''), ['a'])
    const won = await commit(store, [{ type: 'put', key: 'a', value: '3' }], [{ key: 'a', modRevision: first.revision }])
    t.true(won.isCommitted && won.revision > first.revision)
    t.like((await store.readKey('a', 'critical')).unwrap(), { value: '3', createRevision: first.revision, modRevision: won.revision })
  })

  test(`${name}: listing and deleting a prefix do not affect adjacent keys`, async (t) => {
    const store = await createStore(t)
    for (const key of ['p/2', 'p/1', 'p0', 'p', 'p/\uffff']) await commit(store, [{ type: 'put', key, value: key }])
    t.deepEqual(await listKeys(store, 'p/'), ['p/1', 'p/2', 'p/\uffff'])
    await commit(store, [{ type: 'deletePrefix', prefix: 'p/' }, { type: 'delete', key: 'absent' }])
    t.deepEqual(await listKeys(store, ''), ['p', 'p0'])
  })

  test(`${name}: refuses a value over 1 MB as too large, so that the ledger can split it`, async (t) => {
    const store = await createStore(t)
    const write = async (length: number) => await store.commitTransaction({
      comparisons: [], mutations: [{ type: 'put', key: 'key', value: 'x'.repeat(length) }]
    }, 'critical')
    t.true((await write(1024 * 1024)).ok)
    t.like((await write(1024 * 1024 + 1)).val, { code: 'tooLarge', isEffectUnknown: false })
  })

  test(`${name}: refuses a put and a delete of one key in a transaction without effect, as etcd does`, async (t) => {
    const store = await createStore(t)
    const mutations: Mutation[] = [{ type: 'deletePrefix', prefix: 'p/' }, { type: 'put', key: 'p/1', value: '' }]
    const result = await store.commitTransaction({ comparisons: [], mutations }, 'critical')
    t.like(result.val, { code: 'protocol', isEffectUnknown: false })
  })

  test(`${name}: a lease that is not renewed expires with its keys, and renewing it then fails`, async (t) => {
    const store = await createStore(t)
    const leaseId = (await store.grantLease(LEASE_SECONDS)).unwrap()
    await commit(store, [{ type: 'put', key: 'alive', value: '', leaseId }])
    t.is((await store.readKey('alive', 'critical')).unwrap()?.leaseId, leaseId)
    t.is((await store.renewLease(leaseId)).unwrap(), LEASE_SECONDS)
    await waitFor('the key expires', async () => (await listKeys(store, 'alive')).length === 0)
    t.like((await store.renewLease(leaseId)).val, { code: 'leaseNotFound', isEffectUnknown: false })
    const late = await store.commitTransaction({ comparisons: [], mutations: [{ type: 'put', key: 'alive', value: '', leaseId }] }, 'critical')
    t.like(late.val, { code: 'leaseNotFound', isEffectUnknown: false })
    const second = (await store.grantLease(60)).unwrap()
    await commit(store, [{ type: 'put', key: 'alive', value: '', leaseId: second }])
    t.true((await store.revokeLease(second)).ok)
    t.deepEqual(await listKeys(store, 'alive'), [])
    t.like((await store.revokeLease(second)).val, { code: 'leaseNotFound' })
  })

  test(`${name}: a watch delivers all events since the listing, in order`, async (t) => {
    const store = await createStore(t)
    const { revision } = await commit(store, [{ type: 'put', key: 'w/before', value: '' }])
    await commit(store, [{ type: 'put', key: 'w/1', value: '1' }, { type: 'put', key: 'other', value: '' }])
    const events: WatchEvent[] = []
    const watch = store.watchPrefix('w/', revision + 1, { onEvents: (batch) => { events.push(...batch) }, onClosed: (reason) => t.fail(reason) })
    await waitFor('history', () => events.length === 1)
    const last = await commit(store, [{ type: 'put', key: 'w/2', value: '2' }, { type: 'delete', key: 'w/1' }])
    await waitFor('later events', () => events.length === 3)
    t.like(events[0], { type: 'put', value: { key: 'w/1', value: '1' } })
    t.like(events[1], { type: 'put', value: { key: 'w/2', value: '2' } })
    t.deepEqual(events[2], { type: 'delete', key: 'w/1', modRevision: last.revision })
    watch.close()
    await commit(store, [{ type: 'put', key: 'w/3', value: '' }])
    t.is(events.length, 3)
  })
}
