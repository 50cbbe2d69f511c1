import test from 'ava'
import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import { SilentEventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { SilentMetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import type { UnitId } from '@hibiscusledge/runtime/identifiers.js'
import { InMemoryStore } from '@hibiscusledge/store/in-memory-store.js'
import type { CallPriority, Transaction } from '@hibiscusledge/store/key-value-store.js'
import { type CommitResult, PartitionLedger } from '../src/partition-ledger.js'
import { buildAccepted, buildFacts, buildIntent, buildOutcomeEntry, buildRequestId, PARTITION, SHARD, SHARD_B } from './fixtures.js'

/** Can defer a write: its caller sees a timeout, and the test commits the write later. */
class LateWriteStore extends InMemoryStore {
  lateWrites: Transaction[] = []
  deferNext = false
  readonly operations: number[] = []

  override async commitTransaction (transaction: Transaction, priority: CallPriority): ReturnType<InMemoryStore['commitTransaction']> {
    this.operations.push(transaction.mutations.length)
    const written = await super.commitTransaction(this.deferNext ? { comparisons: [{ key: 'none', modRevision: 9 }], mutations: [] } : transaction, priority)
    if (!this.deferNext) return written
    this.deferNext = false
    this.lateWrites.push(transaction)
    this.faults.loseNextReplies = 1
    return await super.commitTransaction({ comparisons: [], mutations: [] }, priority)
  }
}

interface Setup {
  readonly clock: FakeClock
  readonly store: LateWriteStore
  readonly losses: number[]
  createLedger (): Promise<PartitionLedger>
  setOwner (unit: UnitId): Promise<number>
  countSegments (): Promise<number>
}

async function createSetup (): Promise<Setup> {
  const clock = new FakeClock()
  const store = new LateWriteStore(clock)
  const losses: number[] = []
  const setOwner = async (unit: UnitId): Promise<number> => {
    await store.commitTransaction({ comparisons: [], mutations: [{ type: 'put', key: `hl/owner/${unit}`, value: 'x' }] }, 'critical')
    const stored = await store.readKey(`hl/owner/${unit}`, 'critical')
    return stored.ok ? stored.val?.modRevision ?? 0 : 0
  }
  const ownerModRevision = await setOwner(PARTITION)
  const createLedger = async (): Promise<PartitionLedger> => {
    const ledger = new PartitionLedger({
      partition: PARTITION,
      ownerModRevision,
      store,
      clock,
      random: new SeededRandomSource(7),
      logger: new SilentEventLogger(),
      metrics: new SilentMetricSink(),
      retentionMs: 1000,
      onOwnershipLost: () => { losses.push(clock.readMonotonicMs()) }
    })
    await ledger.load()
    return ledger
  }
  const countSegments = async (): Promise<number> => {
    const listing = await store.listPrefix('hl/ledger/', 'critical')
    return listing.ok ? listing.val.values.length : -1
  }
  return { clock, store, losses, createLedger, setOwner, countSegments }
}

function collect (promise: Promise<CommitResult>): { result: CommitResult | undefined } {
  const seen: { result: CommitResult | undefined } = { result: undefined }
  void promise.then((result) => { seen.result = result })
  return seen
}

test('entries added within the batch window share one transaction', async (t) => {
  const { clock, store, createLedger, countSegments } = await createSetup()
  const ledger = await createLedger()
  const before = store.counts.writes
  const seen = Array.from({ length: 100 }, (_, index) => collect(ledger.append(buildIntent(index))))
  await clock.advanceBy(20)
  t.true(seen.every(({ result }) => result === 'committed'))
  t.is(store.counts.writes - before, 1)
  t.is(await countSegments(), 1)
})

test('an intent of a former shard owner is fenced while the rest of its batch is committed', async (t) => {
  const { clock, createLedger, setOwner } = await createSetup()
  const ledger = await createLedger()
  const outdated = await setOwner(SHARD)
  const current = await setOwner(SHARD_B)
  await setOwner(SHARD)
  const fenced = collect(ledger.append(buildIntent(1), { unit: SHARD, modRevision: outdated }))
  const committed = collect(ledger.append(buildIntent(2), { unit: SHARD_B, modRevision: current }))
  const unfenced = collect(ledger.append(buildAccepted(3)))
  await clock.advanceBy(20)
  t.deepEqual([fenced.result, committed.result, unfenced.result], ['fenced', 'committed', 'committed'])
  const reloaded = await createLedger()
  t.deepEqual([...reloaded.state.listRecords()].map(([id]) => id), [buildRequestId(2), buildRequestId(3)])
})

test('a write whose response is lost is not written twice', async (t) => {
  const { clock, store, createLedger, countSegments } = await createSetup()
  const ledger = await createLedger()
  store.faults.loseNextReplies = 1
  const seen = collect(ledger.append(buildIntent(1)))
  await clock.advanceBy(500)
  t.is(seen.result, 'committed')
  t.is(await countSegments(), 1)
})

test('a write that takes effect late, before or after its retry, is committed once', async (t) => {
  for (const isBeforeRetry of [true, false]) {
    const { clock, store, createLedger, countSegments } = await createSetup()
    const ledger = await createLedger()
    store.deferNext = true
    const seen = collect(ledger.append(buildIntent(1)))
    await clock.advanceBy(isBeforeRetry ? 100 : 500)
    for (const transaction of store.lateWrites) await store.commitTransaction(transaction, 'critical')
    await clock.advanceBy(500)
    t.is(seen.result, 'committed')
    t.is(await countSegments(), 1)
    const next = collect(ledger.append(buildIntent(2)))
    await clock.advanceBy(50)
    t.is(next.result, 'committed', 'the next commit uses the next key')
  }
})

test('a stalled intent is reported, and a withdrawal appended after it cancels it if it is committed later', async (t) => {
  const { clock, store, createLedger } = await createSetup()
  const ledger = await createLedger()
  store.faults.isDown = true
  const seen = collect(ledger.append(buildIntent(1)))
  await clock.advanceBy(1500)
  t.is(seen.result, 'stalled')
  t.true(ledger.isStalled())
  const withdrawal = collect(ledger.append({ type: 'withdrawn', requestId: buildRequestId(1), attempt: 1 }))
  store.faults.isDown = false
  await clock.advanceBy(500)
  t.is(withdrawal.result, 'committed')
  t.false(ledger.isStalled())
  t.is((await createLedger()).state.countRecords(), 0)
})

test('a ledger that has lost its partition closes and commits nothing', async (t) => {
  const { clock, losses, createLedger, setOwner, countSegments } = await createSetup()
  const ledger = await createLedger()
  await setOwner(PARTITION)
  const seen = collect(ledger.append(buildIntent(1)))
  await clock.advanceBy(50)
  t.is(seen.result, 'closed')
  t.is(losses.length, 1)
  t.is(await ledger.append(buildIntent(2)), 'closed')
  t.is(await countSegments(), 0)
})

async function appendAll (setup: Setup, ledger: PartitionLedger, count: number, payload: unknown): Promise<void> {
  for (let index = 0; index < count; index++) {
    void ledger.append(buildAccepted(index, payload))
    await setup.clock.advanceBy(15)
  }
  await setup.clock.advanceBy(100)
}

test('compaction keeps the state, and a reload gives the same state', async (t) => {
  const setup = await createSetup()
  const ledger = await createSetupState(setup)
  t.true(await setup.countSegments() <= 49)
  t.deepEqual([...(await setup.createLedger()).state.listRecords()], [...ledger.state.listRecords()])
})

async function createSetupState (setup: Setup): Promise<PartitionLedger> {
  const ledger = await setup.createLedger()
  await appendAll(setup, ledger, 60, 'small')
  const entries = [
    buildIntent(1), buildIntent(2), { type: 'withdrawn' as const, requestId: buildRequestId(2), attempt: 1 },
    buildOutcomeEntry(3, { requestId: buildRequestId(3), outcome: 'completed', result: 1 })
  ]
  for (const entry of entries) void ledger.append(entry)
  await setup.clock.advanceBy(50)
  return ledger
}

test('a large state is compacted in transactions of at most 128 operations, and not again after every commit', async (t) => {
  const setup = await createSetup()
  const ledger = await setup.createLedger()
  const payload = 'x'.repeat(240 * 1024)
  await appendAll(setup, ledger, 300, payload)
  t.is((await setup.createLedger()).state.countRecords(), 300, 'all entries are committed')
  t.true(Math.max(...setup.store.operations) <= 128, `${Math.max(...setup.store.operations)} operations`)
  const before = setup.store.counts.writes
  await appendAll(setup, ledger, 5, 'small')
  t.is(setup.store.counts.writes - before, 5, 'each commit is one write')
})

test('batches of multi-byte texts stay below the value limit of the store', async (t) => {
  const { clock, createLedger } = await createSetup()
  const ledger = await createLedger()
  const seen = Array.from({ length: 5 }, (_, index) => collect(ledger.append(buildAccepted(index, '好'.repeat(85_000)))))
  await clock.advanceBy(500)
  t.deepEqual(seen.map(({ result }) => result), Array.from({ length: 5 }, () => 'committed'))
})

test('a segment with entries that lack a payload or a result can be read', async (t) => {
  const { clock, createLedger } = await createSetup()
  const ledger = await createLedger()
  void ledger.append(buildIntent(1))
  void ledger.append({ type: 'accepted', facts: { ...buildFacts(2), payload: undefined }, deadlineWallMs: 0 })
  void ledger.append(buildOutcomeEntry(3, { requestId: buildRequestId(3), outcome: 'completed', result: undefined }))
  await clock.advanceBy(50)
  t.is((await createLedger()).state.countRecords(), 3)
})
