import test from 'ava'
import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import { toUnitId } from '@hibiscusledge/runtime/identifiers.js'
import type { ShardLoad } from '@hibiscusledge/peer/load-directory.js'
import type { Submission, SubmissionAnswer } from '../src/request-gateway.js'
import { ShardChooser } from '../src/shard-chooser.js'
import { FakeCluster } from './fake-cluster.js'
import { PARTITION, SHARD } from './fixtures.js'

async function createCluster (): Promise<FakeCluster> {
  const cluster = new FakeCluster(['home', 'next', 'shard', 'entry'])
  await cluster.setOwner(PARTITION, 'home')
  await cluster.setOwner(SHARD, 'shard')
  await cluster.advance(100)
  return cluster
}

interface Caller {
  readonly controller: AbortController
  readonly answers: SubmissionAnswer[]
}

async function submit (cluster: FakeCluster, submission: Partial<Submission> = {}): Promise<Caller> {
  const caller: Caller = { controller: new AbortController(), answers: [] }
  void cluster.find('entry').gateway.submit({
    kind: 'enquiry',
    customer: 'harambee',
    team: '',
    deadlineMs: 8000,
    payload: 1,
    idempotencyKey: undefined,
    isWaiting: true,
    trace: undefined,
    ...submission
  }, caller.controller.signal).then((answer) => { caller.answers.push(answer) })
  await cluster.advance(100)
  return caller
}

test('a non-idempotent request whose coordinator fails after the send is submitted to the next coordinator under the same identifier and runs only once', async (t) => {
  const cluster = await createCluster()
  const caller = await submit(cluster, { kind: 'posting', idempotencyKey: 'k' })
  const [first] = cluster.targets.sends
  cluster.kill('home')
  await cluster.setOwner(PARTITION, 'next')
  await cluster.advance(500)
  if (first !== undefined) cluster.targets.end(first.requestId, { type: 'succeeded', result: 'r' })
  await cluster.advance(500)
  t.deepEqual(caller.answers, [{ type: 'outcome', outcome: { requestId: first?.requestId ?? '', outcome: 'completed', result: 'r' } }] as never)
  t.is(cluster.targets.sends.length, 1)
})

test('a request whose coordinator fails while it records the intent runs after the shard owner has ended that attempt', async (t) => {
  const cluster = await createCluster()
  cluster.hub.decideDelivery = ({ kind, isReply }) => kind === 'recordIntent' && !isReply ? [] : [0]
  const caller = await submit(cluster, { kind: 'posting', idempotencyKey: 'k', deadlineMs: 20_000 })
  cluster.kill('home')
  cluster.hub.decideDelivery = () => [0]
  await cluster.setOwner(PARTITION, 'next')
  await cluster.advance(8000)
  t.is(cluster.targets.sends.length, 1)
  const [send] = cluster.targets.sends
  if (send !== undefined) cluster.targets.end(send.requestId, { type: 'succeeded', result: 'r' })
  await cluster.advance(500)
  t.like(caller.answers[0], { type: 'outcome', outcome: { outcome: 'completed' } })
})

test('each caller gets the answer to its own request when the answers arrive out of order', async (t) => {
  const cluster = await createCluster()
  const callers = [await submit(cluster, { payload: 0 }), await submit(cluster, { payload: 1 }), await submit(cluster, { payload: 2 })]
  const sends = [...cluster.targets.sends]
  for (const index of [2, 0, 1]) {
    const send = sends[index]
    if (send !== undefined) cluster.targets.end(send.requestId, { type: 'succeeded', result: index })
    await cluster.advance(20)
  }
  const results = callers.map(({ answers: [answer] }) => answer?.type === 'outcome' && answer.outcome.outcome === 'completed' && answer.outcome.result)
  t.deepEqual(results, [0, 1, 2])
})

test('two callers with the same idempotency key share one request; another body under that key is a conflict', async (t) => {
  const cluster = await createCluster()
  const first = await submit(cluster, { idempotencyKey: 'k' })
  const second = await submit(cluster, { idempotencyKey: 'k' })
  const other = await submit(cluster, { idempotencyKey: 'k', payload: 2 })
  const [send] = cluster.targets.sends
  if (send !== undefined) cluster.targets.end(send.requestId, { type: 'succeeded', result: 1 })
  await cluster.advance(100)
  t.deepEqual([first, second, other].map(({ answers }) => answers[0]?.type), ['outcome', 'outcome', 'conflict'])
  t.is(cluster.targets.sends.length, 1)
})

for (const [idempotencyKey, sends] of [[undefined, 0], ['k', 1]] as const) {
  test(`a request ${idempotencyKey === undefined ? 'without' : 'with'} a key is sent ${sends} times after its caller disconnects`, async (t) => {
    const cluster = await createCluster()
    cluster.find('shard').hasAuthority = false
    const caller = await submit(cluster, { idempotencyKey })
    caller.controller.abort()
    await cluster.advance(200)
    cluster.find('shard').hasAuthority = true
    await cluster.advance(200)
    t.is(cluster.targets.sends.length, sends)
  })
}

test('a request without a key is cancelled when its caller disconnects before the submit message arrives', async (t) => {
  const cluster = await createCluster()
  cluster.find('shard').hasAuthority = false
  cluster.hub.decideDelivery = ({ kind, isReply }) => kind === 'submit' && !isReply ? [500] : [0]
  const caller = await submit(cluster)
  caller.controller.abort()
  await cluster.advance(1000)
  cluster.find('shard').hasAuthority = true
  await cluster.advance(500)
  t.is(cluster.targets.sends.length, 0)
})

test('the answer is notRun without a coordinator, and unknown when a submit message may have reached one', async (t) => {
  for (const isDelivered of [false, true]) {
    const cluster = await createCluster()
    if (isDelivered) cluster.hub.decideDelivery = ({ kind }) => kind === 'submit' ? [] : [0]
    else cluster.kill('home')
    const caller = await submit(cluster, { deadlineMs: 1000 })
    await cluster.advance(8000)
    const [answer] = caller.answers
    t.is(answer?.type === 'outcome' ? answer.outcome.outcome : answer?.type, isDelivered ? 'unknown' : 'notRun')
  }
})

const NONE_BY_URGENCY = { urgent: 0, high: 0, normal: 0, low: 0 }
function buildLoad (unit: string, waitMs: number, targetCount = 1, freeShare = 0.5): ShardLoad {
  const estimatedWaitMs = { ...NONE_BY_URGENCY, high: waitMs }
  return { unit: toUnitId(unit), epoch: 1, pools: [{ pool: 'p', targetCount, freeShare, queued: NONE_BY_URGENCY, estimatedWaitMs }] }
}

function createRanking (loads: readonly ShardLoad[], units: readonly string[], seed: number): () => string[] {
  const directory = new FakeCluster(['x']).find('x').context.ownership
  const chooser = new ShardChooser({
    ...directory,
    listUnits: () => units.map(toUnitId),
    findOwner: (unit) => unit.endsWith('unowned') ? undefined : { instance: 'x', incarnation: 'x', epoch: 1, modRevision: 1 } as never
  }, { setLocalLoadProvider: () => {}, findLoad: (unit) => loads.find((load) => load.unit === unit) }, new SeededRandomSource(seed))
  return () => chooser.rankShards('p', 'executor', 'high')
}

test('of two shards the one with the shorter wait ranks first; unowned shards and other units are excluded', (t) => {
  const loads = [buildLoad('executor/a', 50), buildLoad('executor/b', 5)]
  for (let seed = 1; seed <= 20; seed++) {
    const rank = createRanking(loads, ['executor/a', 'executor/b', 'executor/unowned', 'worker/a', PARTITION], seed)
    t.deepEqual(rank(), ['executor/b', 'executor/a'])
  }
})

test('a shard without targets of the pool is excluded, and one without a load report ranks last', (t) => {
  const loads = [buildLoad('executor/a', 50), buildLoad('executor/b', 5, 0)]
  t.deepEqual(createRanking(loads, ['executor/a', 'executor/b', 'executor/c'], 3)(), ['executor/a', 'executor/c'])
})

test('the worst of several shards never ranks first, and the best one not always', (t) => {
  const units = ['a', 'b', 'c', 'd'].map((name) => `executor/${name}`)
  const loads = units.map((unit, index) => buildLoad(unit, index * 10))
  const rank = createRanking(loads, units, 5)
  const firsts = Array.from({ length: 60 }, () => rank()[0])
  t.false(firsts.includes('executor/d'))
  t.true(new Set(firsts).size > 1)
})
