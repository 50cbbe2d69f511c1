import test, { type ExecutionContext } from 'ava'
import type { FakeCluster } from './fake-cluster.js'
import { buildFacts, PARTITION, SHARD } from './fixtures.js'
import { cancel, createCluster, DONE, endRequest, FAILED, dropNextMessage, readOutcome, submit } from './coordinator-helpers.js'

test('a duplicate submit joins the request, and another body under the same identifier is a conflict', async (t) => {
  const cluster = await createCluster()
  const facts = buildFacts(1, 'posting')
  t.is((await submit(cluster, facts))?.type, 'pending')
  t.is((await submit(cluster, facts))?.type, 'pending')
  t.is((await submit(cluster, { ...facts, fingerprint: 'other' }))?.type, 'conflict')
  cluster.targets.end(facts.requestId, DONE)
  await cluster.advance(100)
  t.is((await submit(cluster, facts))?.type, 'outcome')
  t.is(cluster.targets.sends.length, 1)
})

const DEADLINES: ReadonlyArray<{ title: string, kind: string, prepare: (cluster: FakeCluster) => void, outcome: string }> = [
  { title: 'unassigned', kind: 'enquiry', prepare: (cluster) => { cluster.find('shard').hasAuthority = false }, outcome: 'notRun' },
  { title: 'assigned, intent needed', kind: 'posting', prepare: (cluster) => { cluster.find('shard').hasAuthority = false }, outcome: 'notRun' },
  { title: 'recording', kind: 'posting', prepare: (cluster) => { cluster.find('home').store.faults.delayMs = 900 }, outcome: 'unknown' },
  { title: 'granted', kind: 'posting', prepare: () => {}, outcome: 'unknown' },
  { title: 'sent without an intent', kind: 'enquiry', prepare: () => {}, outcome: 'unknown' },
  { title: 'store down, intent needed', kind: 'posting', prepare: (cluster) => { cluster.find('home').store.setDown(true) }, outcome: 'notRun' }
]

for (const { title, kind, prepare, outcome } of DEADLINES) {
  test(`a request that expires (${title}) ends as ${outcome}`, async (t) => {
    const cluster = await createCluster()
    await prepare(cluster)
    const facts = buildFacts(1, kind)
    await submit(cluster, facts, { remainingMs: 3000 })
    await cluster.advance(8000)
    t.is(await readOutcome(cluster, facts), outcome)
    t.is(cluster.targets.sends.length > 0, outcome === 'unknown')
  })
}

const CANCELS: ReadonlyArray<{ title: string, kind: string, prepare: (cluster: FakeCluster) => void, outcome: string, sends: number }> = [
  { title: 'queued', kind: 'enquiry', prepare: (cluster) => { cluster.find('shard').hasAuthority = false }, outcome: 'notRun', sends: 0 },
  { title: 'recording', kind: 'posting', prepare: (cluster) => { cluster.find('home').store.faults.delayMs = 400 }, outcome: 'notRun', sends: 0 },
  { title: 'granted at an executor', kind: 'posting', prepare: () => {}, outcome: 'completed', sends: 1 },
  { title: 'sent without an intent', kind: 'enquiry', prepare: () => {}, outcome: 'completed', sends: 1 },
  { title: 'granted at a worker', kind: 'task', prepare: () => {}, outcome: 'completed', sends: 1 }
]

for (const { title, kind, prepare, outcome, sends } of CANCELS) {
  test(`a request that is cancelled (${title}) ends as ${outcome}`, async (t) => {
    const cluster = await createCluster()
    await cluster.setOwner(PARTITION.replace('partition/00', 'worker/a') as typeof PARTITION, 'shard')
    prepare(cluster)
    const facts = buildFacts(1, kind)
    await submit(cluster, facts)
    await cancel(cluster, facts, 1500)
    cluster.find('shard').hasAuthority = true
    cluster.targets.end(facts.requestId, kind === 'task' ? { type: 'failed', message: 'stopped on request' } : DONE)
    await cluster.advance(1000)
    t.is(await readOutcome(cluster, facts), outcome)
    t.is(cluster.targets.sends.length, sends, 'a cancelled request is not sent again')
    if (kind === 'task') t.is(cluster.targets.actions.length, 1, 'a worker task is asked to stop')
  })
}

test('a cancelled request does not run when the reply to its withdrawal is lost', async (t) => {
  const cluster = await createCluster()
  cluster.find('shard').hasAuthority = false
  const facts = buildFacts(1, 'enquiry')
  await submit(cluster, facts)
  dropNextMessage(cluster, ({ kind, isReply }) => kind === 'withdraw' && isReply)
  await cancel(cluster, facts, 2000)
  cluster.find('shard').hasAuthority = true
  await cluster.advance(15_000)
  t.is(await readOutcome(cluster, facts), 'notRun')
  t.is(cluster.targets.sends.length, 0)
})

test('a request whose earlier attempt ran does not end as notRun on a cancellation or at its deadline', async (t) => {
  for (const isCancelled of [true, false]) {
    const cluster = await createCluster()
    const facts = buildFacts(1, 'enquiry')
    await submit(cluster, facts, { remainingMs: 2000 })
    cluster.find('shard').hasAuthority = false
    cluster.targets.end(facts.requestId, FAILED)
    await cluster.advance(300)
    if (isCancelled) await cancel(cluster, facts)
    await cluster.advance(10_000)
    t.is(cluster.targets.sends.length, 1)
    t.is(await readOutcome(cluster, facts), 'completed', `cancelled: ${isCancelled}`)
  }
})

test('retries stop at the limit of the route', async (t) => {
  const cluster = await createCluster()
  cluster.targets.decideEnd = () => ({ afterMs: 5, report: FAILED })
  const facts = buildFacts(1, 'enquiry')
  await submit(cluster, facts)
  await cluster.advance(2000)
  t.is(cluster.targets.sends.length, 3)
  t.is(await readOutcome(cluster, facts), 'completed')
})

test('the retry budget of the pool limits the retries when many requests fail', async (t) => {
  const cluster = await createCluster()
  cluster.targets.decideEnd = () => ({ afterMs: 5, report: FAILED })
  for (let index = 0; index < 20; index++) await submit(cluster, buildFacts(index, 'enquiry'))
  await cluster.advance(2000)
  const retries = cluster.targets.sends.length - 20
  t.true(retries >= 1 && retries <= 8, `${retries} retries`)
})

test('duplicated and late results of an attempt are ignored', async (t) => {
  const cluster = await createCluster()
  const facts = buildFacts(1, 'enquiry')
  await submit(cluster, facts)
  cluster.find('shard').hasAuthority = false
  cluster.hub.decideDelivery = ({ kind, isReply }) => kind === 'attemptResult' && !isReply ? [0, 10, 20, 40, 400] : [0]
  cluster.targets.end(facts.requestId, FAILED)
  await cluster.advance(300)
  t.is(await readOutcome(cluster, facts), 'pending', 'a failed attempt counts once')
  await cluster.advance(500)
  t.is(await readOutcome(cluster, facts), 'pending', 'a result of an earlier attempt is ignored')
  cluster.find('shard').hasAuthority = true
  await cluster.advance(200)
  cluster.targets.end(facts.requestId, DONE)
  await cluster.advance(200)
  t.is(await readOutcome(cluster, facts), 'completed')
  t.is(cluster.targets.sends.length, 2)
})

test('lost enqueue messages end a request as notRun if it needs an intent, otherwise as unknown', async (t) => {
  for (const [kind, outcome] of [['enquiry', 'unknown'], ['posting', 'notRun']] as const) {
    const cluster = await createCluster()
    cluster.hub.decideDelivery = ({ kind, isReply }) => kind === 'enqueue' && !isReply ? [] : [0]
    const facts = buildFacts(1, kind)
    await submit(cluster, facts, { remainingMs: 2500 })
    await cluster.advance(8000)
    t.is(await readOutcome(cluster, facts), outcome, kind)
  }
})

test('a request is assigned again when its shard changes owner before the enqueue reply arrives', async (t) => {
  const cluster = await createCluster()
  cluster.hub.decideDelivery = ({ kind, isReply, from }) => kind === 'enqueue' && isReply && from === 'shard' ? [500] : [0]
  cluster.find('shard').hasAuthority = false
  const facts = buildFacts(1, 'posting')
  await submit(cluster, facts)
  await cluster.setOwner(SHARD, 'other')
  await cluster.advance(1500)
  t.is(cluster.targets.sends.length, 1)
})

test('a change of the shard owner reassigns a request without an intent; one with an intent is only tracked', async (t) => {
  for (const isBefore of [true, false]) {
    const cluster = await createCluster()
    const facts = buildFacts(1, 'posting')
    if (isBefore) cluster.find('shard').hasAuthority = false
    await submit(cluster, facts)
    cluster.kill('shard')
    await cluster.setOwner(SHARD, 'other')
    await cluster.advance(500)
    cluster.targets.end(facts.requestId, DONE)
    await cluster.advance(500)
    t.is(cluster.targets.sends.length, 1)
    t.is(await readOutcome(cluster, facts), 'completed')
  }
})

test('an unknown outcome becomes notRun when the target turns out not to have run the request', async (t) => {
  const cluster = await createCluster()
  const facts = buildFacts(1, 'posting')
  await submit(cluster, facts, { remainingMs: 1000 })
  cluster.hub.decideDelivery = ({ kind }) => kind === 'attemptResult' ? [] : [0]
  cluster.targets.end(facts.requestId, { type: 'notRun', message: 'refused', isLeaving: false })
  await cluster.advance(3000)
  t.is(await readOutcome(cluster, facts), 'unknown')
  cluster.hub.decideDelivery = () => [0]
  await cluster.advance(5000)
  t.is(await readOutcome(cluster, facts), 'notRun')
})

function checkUniqueSends (t: ExecutionContext, cluster: FakeCluster): void {
  t.is(new Set(cluster.targets.sends.map(({ requestId, attempt }) => `${requestId}.${attempt}`)).size, cluster.targets.sends.length)
}

test('a duplicated enqueue message that arrives after the end of its attempt sends nothing', async (t) => {
  for (const kind of ['enquiry', 'posting']) {
    const cluster = await createCluster()
    cluster.hub.decideDelivery = ({ kind, isReply }) => kind === 'enqueue' && !isReply ? [0, 700] : kind === 'attemptResult' ? [300] : [0]
    cluster.targets.decideEnd = () => ({ afterMs: 600, report: DONE })
    const facts = buildFacts(1, kind)
    await submit(cluster, facts)
    await cluster.advance(3000)
    checkUniqueSends(t, cluster)
    t.is(cluster.targets.sends.length, 1, kind)
    t.is(await readOutcome(cluster, facts), 'completed')
  }
})

test('a late enqueue message of an earlier attempt does not replace the queued attempt', async (t) => {
  const cluster = await createCluster()
  let enqueues = 0
  cluster.hub.decideDelivery = ({ kind, isReply }) => kind === 'enqueue' && !isReply && enqueues++ === 0 ? [2500] : [0]
  cluster.find('shard').hasAuthority = false
  const facts = buildFacts(1, 'posting')
  await submit(cluster, facts, { remainingMs: 20_000 })
  await cluster.advance(4000)
  cluster.find('shard').hasAuthority = true
  await cluster.advance(500)
  await endRequest(cluster, facts)
  t.is(cluster.targets.sends.length, 1)
  t.is(await readOutcome(cluster, facts), 'completed')
})
