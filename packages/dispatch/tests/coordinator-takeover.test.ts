import test from 'ava'
import { toInstanceId } from '@hibiscusledge/runtime/identifiers.js'
import type { RequestFacts } from '../src/ledger-entry.js'
import type { FakeCluster } from './fake-cluster.js'
import { buildFacts, PARTITION } from './fixtures.js'
import { cancel, createCluster, endRequest, FAILED, readOutcome, submit } from './coordinator-helpers.js'

async function takeOver (cluster: FakeCluster): Promise<void> {
  cluster.kill('home')
  await cluster.setOwner(PARTITION, 'next')
  await cluster.advance(300)
}

const NEXT = toInstanceId('next')

interface Recovery {
  readonly title: string
  readonly kind: string
  readonly isWaiting: boolean
  readonly outcome: string
  readonly sends: number
  run (cluster: FakeCluster, facts: RequestFacts): Promise<void>
}

const RECOVERIES: readonly Recovery[] = [
  {
    title: 'an accepted, queued request runs',
    kind: 'posting',
    isWaiting: false,
    run: async (cluster, facts) => {
      await takeOver(cluster)
      cluster.find('shard').hasAuthority = true
      await cluster.advance(1000)
      await endRequest(cluster, facts)
    },
    outcome: 'completed',
    sends: 1
  },
  {
    title: 'a request with a granted intent is tracked to its end',
    kind: 'posting',
    isWaiting: true,
    run: async (cluster, facts) => { await takeOver(cluster); await endRequest(cluster, facts) },
    outcome: 'completed',
    sends: 1
  },
  {
    title: 'the outcome of an ended request is available',
    kind: 'posting',
    isWaiting: true,
    run: async (cluster, facts) => { await endRequest(cluster, facts); await takeOver(cluster) },
    outcome: 'completed',
    sends: 1
  },
  {
    title: 'a cancelled request with a granted intent ends as its attempt does',
    kind: 'posting',
    isWaiting: true,
    run: async (cluster, facts) => { await takeOver(cluster); await cancel(cluster, facts, 100, NEXT); await endRequest(cluster, facts) },
    outcome: 'completed',
    sends: 1
  },
  {
    title: 'a cancelled request that was accepted and sent without an intent is unknown',
    kind: 'enquiry',
    isWaiting: false,
    run: async (cluster, facts) => {
      cluster.find('shard').hasAuthority = false
      await takeOver(cluster)
      await cancel(cluster, facts, 100, NEXT)
    },
    outcome: 'unknown',
    sends: 1
  }
]

for (const { title, kind, isWaiting, run, outcome, sends } of RECOVERIES) {
  test(`after a takeover ${title}`, async (t) => {
    const cluster = await createCluster()
    const facts = buildFacts(1, kind)
    if (!isWaiting && kind === 'posting') cluster.find('shard').hasAuthority = false
    const reply = await submit(cluster, facts, { isWaiting })
    t.is(reply?.type, isWaiting ? 'pending' : 'accepted')
    await run(cluster, facts)
    await cluster.advance(500)
    t.is(await readOutcome(cluster, facts, NEXT), outcome)
    t.is(cluster.targets.sends.length, sends)
  })
}

test('an accepted request that is submitted again after notRun survives a takeover', async (t) => {
  const cluster = await createCluster()
  cluster.find('shard').hasAuthority = false
  const facts = buildFacts(1, 'posting')
  await submit(cluster, facts, { isWaiting: false, remainingMs: 500 })
  await cluster.advance(5000)
  t.is(await readOutcome(cluster, facts), 'notRun')
  t.is((await submit(cluster, facts, { isWaiting: false, remainingMs: 20_000 }))?.type, 'accepted')
  await takeOver(cluster)
  t.is(await readOutcome(cluster, facts, NEXT), 'pending')
})

test('a request that runs after a recorded notRun is not reported as notRun by the next coordinator', async (t) => {
  const cluster = await createCluster()
  cluster.find('shard').hasAuthority = false
  const facts = buildFacts(1, 'enquiry')
  await submit(cluster, facts, { isWaiting: false, remainingMs: 500 })
  await cluster.advance(5000)
  cluster.find('shard').hasAuthority = true
  await submit(cluster, facts)
  await endRequest(cluster, facts)
  t.is(await readOutcome(cluster, facts), 'completed')
  await takeOver(cluster)
  t.is(await readOutcome(cluster, facts, NEXT), 'completed')
})

test('an idempotent request that a failed coordinator had sent ends as unknown when it expires at the next coordinator', async (t) => {
  const cluster = await createCluster()
  const { gateway, context } = cluster.find('entry')
  const submission = {
    kind: 'enquiry', customer: 'harambee', team: '', deadlineMs: 2000, payload: 1, idempotencyKey: 'k', isWaiting: true, trace: undefined
  }
  let outcome = ''
  void gateway.submit(submission, new AbortController().signal).then((answer) => {
    outcome = answer.type === 'outcome' ? answer.outcome.outcome : answer.type
  })
  await cluster.advance(100)
  t.is(cluster.targets.sends.length, 1)
  cluster.find('shard').hasAuthority = false
  cluster.targets.end(cluster.targets.sends[0]?.requestId ?? buildFacts(0).requestId, FAILED)
  cluster.kill('home')
  await cluster.setOwner(PARTITION, 'next')
  await cluster.advance(10_000)
  t.is(context.ownership.findOwner(PARTITION)?.instance, NEXT)
  t.is(outcome, 'unknown')
})

test('after notRun a late message of the same submission does not restart the request; a new submission does', async (t) => {
  const cluster = await createCluster()
  cluster.find('shard').hasAuthority = false
  const facts = buildFacts(1, 'posting')
  await submit(cluster, facts, { submission: 's1', remainingMs: 500 })
  await cluster.advance(4000)
  cluster.find('shard').hasAuthority = true
  t.is((await submit(cluster, facts, { submission: 's1' }))?.type, 'outcome')
  t.is(cluster.targets.sends.length, 0)
  t.is((await submit(cluster, facts, { submission: 's2' }))?.type, 'pending')
  t.is(cluster.targets.sends.length, 1)
})

// Guards against ledger entries of three times the limit, since a character of the result can take three bytes.
const RESULTS: ReadonlyArray<{ title: string, result: string, outcome: string }> = [
  { title: 'just within the limit is available', result: '€'.repeat(5_400), outcome: 'completed' },
  { title: 'over the limit in bytes, though not in characters, is unknown', result: '€'.repeat(6_000), outcome: 'unknown' }
]

for (const { title, result, outcome } of RESULTS) {
  test(`after a takeover a result that is ${title}`, async (t) => {
    const cluster = await createCluster()
    const facts = buildFacts(1, 'posting')
    await submit(cluster, facts)
    await endRequest(cluster, facts, { type: 'succeeded', result })
    await takeOver(cluster)
    t.is(await readOutcome(cluster, facts, NEXT), outcome)
  })
}
