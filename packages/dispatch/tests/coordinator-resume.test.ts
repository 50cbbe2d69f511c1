import test from 'ava'
import { createCluster, DONE, endRequest, readOutcome, submit } from './coordinator-helpers.js'
import { buildFacts, PARTITION, SHARD, SHARD_B } from './fixtures.js'

// A coordinator whose hand-over fails goes on under the same epoch. If it numbered its attempts from the start again, an attempt
// that still waits at one shard could have the number of a later one that another shard has sent, and its report that it was
// not sent would then be taken for the end of the other.
test('after a failed hand-over the report of an attempt that was not sent does not end a later one', async (t) => {
  const cluster = await createCluster()
  cluster.find('shard').hasAuthority = false
  const facts = buildFacts(1, 'posting')
  await submit(cluster, facts)
  await cluster.prepareHandOver(PARTITION, 'next')
  await cluster.resumeUnit(PARTITION)
  // The first shard, which holds the attempt, has no owner for the coordinator while it assigns the request again.
  await cluster.setOwner(SHARD_B, 'other')
  cluster.removeFromDirectory(SHARD)
  await submit(cluster, facts)
  cluster.restoreToDirectory(SHARD)
  cluster.find('shard').hasAuthority = true
  await cluster.advance(2000)
  t.is(cluster.targets.sends.length, 1, 'a non-idempotent request is sent once')
  await endRequest(cluster, facts)
  t.is(await readOutcome(cluster, facts), 'completed')
})

// Two ledgers of one epoch would write the same segment, and neither is fenced by the owner record.
test('a commit that is open during a failed hand-over neither gets lost nor blocks later commits', async (t) => {
  const cluster = await createCluster()
  const { faults } = cluster.find('home').store
  const [first, second] = [buildFacts(1, 'posting'), buildFacts(2, 'posting')]
  faults.delayMs = 600
  await submit(cluster, first)
  void cluster.prepareHandOver(PARTITION, 'next')
  await cluster.advance(100)
  faults.delayMs = 0
  void cluster.resumeUnit(PARTITION)
  await cluster.advance(2000)
  await submit(cluster, second)
  await cluster.advance(2000)
  for (const facts of [first, second]) {
    cluster.targets.end(facts.requestId, DONE)
    await cluster.advance(200)
    t.is(await readOutcome(cluster, facts), 'completed')
  }
  t.is(cluster.targets.sends.length, 2)
})
