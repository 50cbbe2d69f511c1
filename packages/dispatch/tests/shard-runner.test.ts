import test from 'ava'
import { PEER_MESSAGE_KINDS } from '@hibiscusledge/peer/peer-message-kinds.js'
import { toInstanceId, toTargetId, toUnitId, type RequestId } from '@hibiscusledge/runtime/identifiers.js'
import type { AttemptReport, EnqueueMessage } from '../src/dispatch-messages.js'
import { mergeReports } from '../src/shard-attempt.js'
import type { RunReport } from '../src/target-client.js'
import { FakeCluster } from './fake-cluster.js'
import { buildFacts, buildRequestId, buildSubmit, PARTITION, SHARD } from './fixtures.js'

const HOME = toInstanceId('home')
const DONE: RunReport = { type: 'succeeded', result: 'done' }

async function createCluster (): Promise<FakeCluster> {
  const cluster = new FakeCluster(['home', 'shard', 'other', 'entry'])
  await cluster.setOwner(PARTITION, 'home')
  await cluster.setOwner(SHARD, 'shard')
  await cluster.advance(100)
  return cluster
}

async function submit (cluster: FakeCluster, index: number, kind: string): Promise<RequestId> {
  const facts = buildFacts(index, kind)
  void cluster.find('entry').context.network.sendRequest(HOME, PEER_MESSAGE_KINDS.submit, buildSubmit(facts), 5000)
  await cluster.advance(200)
  return facts.requestId
}

async function readOutcome (cluster: FakeCluster, requestId: RequestId): Promise<string> {
  let found = 'none'
  void cluster.find('entry').gateway.lookup(requestId).then((status) => {
    found = status.type === 'outcome' ? status.outcome.outcome : status.type
  })
  await cluster.advance(10)
  return found
}

test('nothing is sent without authority, and queued requests are sent when it returns', async (t) => {
  const cluster = await createCluster()
  cluster.find('shard').hasAuthority = false
  await submit(cluster, 1, 'enquiry')
  await submit(cluster, 2, 'posting')
  t.is(cluster.targets.sends.length, 0)
  cluster.find('shard').hasAuthority = true
  await cluster.advance(200)
  t.is(cluster.targets.sends.length, 2)
})

test('an attempt is not sent when authority is lost while its intent is recorded', async (t) => {
  const cluster = await createCluster()
  cluster.find('home').store.faults.delayMs = 300
  await submit(cluster, 1, 'posting')
  cluster.find('shard').hasAuthority = false
  await cluster.advance(1000)
  t.is(cluster.targets.sends.length, 0)
})

test('an attempt whose intent is not granted is not sent', async (t) => {
  const cluster = await createCluster()
  cluster.find('home').store.setDown(true)
  const requestId = await submit(cluster, 1, 'posting')
  await cluster.advance(14_000)
  t.is(cluster.targets.sends.length, 0)
  t.is(await readOutcome(cluster, requestId), 'notRun')
})

test('a grant that arrives over 1 s after its acknowledgement is ignored; one delayed by a slow store is not', async (t) => {
  for (const [replyDelayMs, storeDelayMs, attempt] of [[1500, 0, 100_002], [100, 800, 100_001]] as const) {
    const cluster = await createCluster()
    cluster.find('home').store.faults.delayMs = storeDelayMs
    let grants = 0
    cluster.hub.decideDelivery = ({ kind, isReply }) => kind === 'recordIntent' && isReply && grants++ === 0 ? [replyDelayMs] : [0]
    await submit(cluster, 1, 'posting')
    await cluster.advance(4000)
    t.deepEqual(cluster.targets.sends.map((send) => send.attempt), [attempt])
  }
})

test('a runner stopped while an intent is recorded does not send, even if its instance owns the unit again', async (t) => {
  const cluster = await createCluster()
  cluster.hub.decideDelivery = ({ kind, isReply }) => kind === 'recordIntent' && isReply ? [300] : [0]
  await submit(cluster, 1, 'posting')
  await cluster.setOwner(SHARD, 'other')
  await cluster.setOwner(SHARD, 'shard')
  await cluster.advance(1000)
  const attempts = cluster.targets.sends.map(({ attempt }) => attempt)
  t.is(new Set(attempts).size, attempts.length)
  t.false(attempts.includes(100_001), 'the attempt of the first epoch is not sent')
})

test('attempts of recovered intents use capacity until their targets report their ends', async (t) => {
  const cluster = await createCluster()
  for (let index = 0; index < 4; index++) await submit(cluster, index, 'posting')
  t.is(cluster.targets.sends.length, 4, 'both executors are full')
  cluster.kill('shard')
  await cluster.setOwner(SHARD, 'other')
  await submit(cluster, 9, 'posting')
  t.is(cluster.targets.sends.length, 4, 'the new owner sees no free slot')
  cluster.targets.end(buildRequestId(0), DONE)
  await cluster.advance(200)
  t.is(cluster.targets.sends.length, 5)
  t.is(await readOutcome(cluster, buildRequestId(0)), 'completed')
})

test('after a hand-over the successor counts the running attempts, and the former owner reports their ends', async (t) => {
  const cluster = await createCluster()
  for (let index = 0; index < 4; index++) await submit(cluster, index, 'enquiry')
  const queued = await submit(cluster, 9, 'enquiry')
  await cluster.prepareHandOver(SHARD, 'other')
  await cluster.setOwner(SHARD, 'other')
  await cluster.advance(300)
  t.is(cluster.targets.listSends(queued).length, 0, 'the successor counts the runs of the former owner')
  for (let index = 0; index < 4; index++) cluster.targets.end(buildRequestId(index), DONE)
  await cluster.advance(300)
  t.is(await readOutcome(cluster, buildRequestId(0)), 'completed', 'the former owner reports the end')
  t.is(cluster.targets.listSends(queued).length, 1)
})

test('a report is repeated until it is recorded, and only then acknowledged to the target', async (t) => {
  const cluster = await createCluster()
  const requestId = await submit(cluster, 1, 'posting')
  cluster.hub.decideDelivery = ({ kind }) => kind === 'attemptResult' ? [] : [0]
  cluster.targets.end(requestId, DONE)
  await cluster.advance(5000)
  t.deepEqual(cluster.targets.acknowledged, [])
  cluster.hub.decideDelivery = () => [0]
  await cluster.advance(3000)
  t.deepEqual(cluster.targets.acknowledged, [requestId])
  t.is(await readOutcome(cluster, requestId), 'completed')
})

test('an enqueue message for another epoch of the shard owner is refused', async (t) => {
  const cluster = await createCluster()
  const requestId = await submit(cluster, 1, 'enquiry')
  const sent = cluster.hub.messages.find(({ kind, isReply }) => kind === 'enqueue' && !isReply)
  await cluster.setOwner(SHARD, 'shard')
  const reply = cluster.find('home').context.network.sendRequest(toInstanceId('shard'), 'enqueue', sent?.body as EnqueueMessage, 1000)
  await cluster.advance(200)
  const answer = await reply
  t.deepEqual(answer.ok && answer.val, { type: 'notOwner' })
  t.is(cluster.targets.listSends(requestId).length, 1)
})

const lost: RunReport = { type: 'lost', message: 'l' }
const unknown: RunReport = { type: 'unknown', message: 'u' }
const failed: RunReport = { type: 'failed', message: 'f' }
const notRun: RunReport = { type: 'notRun', message: 'n', isLeaving: false }
const checkpointed: RunReport = { type: 'checkpointed', checkpoint: 'c' }
const MERGES: ReadonlyArray<{ title: string, reports: RunReport[], type: AttemptReport['type'] | undefined }> = [
  { title: 'one success', reports: [DONE], type: 'succeeded' },
  { title: 'all succeed', reports: [DONE, DONE], type: 'succeeded' },
  { title: 'unknown takes precedence over lost', reports: [lost, unknown], type: 'unknown' },
  { title: 'lost takes precedence over failed', reports: [failed, lost], type: 'lost' },
  { title: 'failed takes precedence over succeeded', reports: [DONE, failed], type: 'failed' },
  { title: 'failed takes precedence over notRun', reports: [notRun, failed], type: 'failed' },
  { title: 'all refused is notRun', reports: [notRun, notRun], type: 'notRun' },
  { title: 'partly refused is lost, as the rest has run', reports: [DONE, notRun], type: 'lost' },
  { title: 'partly checkpointed and partly refused is lost, as a part has run', reports: [checkpointed, notRun], type: 'lost' },
  { title: 'a checkpoint', reports: [checkpointed], type: 'checkpointed' },
  { title: 'a detached task gives no report, as another owner reports the attempt', reports: [DONE, { type: 'detached' }], type: undefined }
]

for (const { title, reports, type } of MERGES) {
  test(`merged reports: ${title}`, (t) => {
    t.is(mergeReports(reports, reports.map((_report, index) => toTargetId(`t-${index}`)))?.type, type)
  })
}

test('the next owner of a worker shard does not run an exclusive task again before its lease has expired', async (t) => {
  const cluster = await createCluster()
  const unit = toUnitId('worker/a')
  await cluster.setOwner(unit, 'shard')
  await submit(cluster, 1, 'plan')
  t.is(cluster.targets.sends.length, 1)
  cluster.kill('shard')
  await cluster.setOwner(unit, 'other')
  await cluster.advance(9000)
  t.is(cluster.targets.sends.length, 1)
  t.is(await readOutcome(cluster, buildRequestId(1)), 'pending')
})
