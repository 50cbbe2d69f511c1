import test from 'ava'
import { FakeCluster } from './fake-cluster.js'

test('instances that start together share all partitions within 2 s', async (t) => {
  const cluster = new FakeCluster(1)
  for (const name of ['1', '2', '3']) cluster.start(name)
  const passedMs = await cluster.runUntil(() => cluster.isServedBy(['1', '2', '3']), 2_000)
  t.log(`stable after ${passedMs} ms`)
  t.not(passedMs, undefined)
  t.true(cluster.processes.every(({ node }) => node.ownership.listHeld().length > 0))
  t.deepEqual(cluster.violations, [])
})

test('the units of a killed owner are taken over by the others', async (t) => {
  const cluster = new FakeCluster(2)
  const [first] = ['1', '2', '3'].map((name) => cluster.start(name))
  await cluster.run(3_000)
  first?.gate.kill()
  const passedMs = await cluster.runUntil(() => cluster.isServedBy(['2', '3']), 8_000)
  t.log(`taken over after ${passedMs} ms`)
  t.not(passedMs, undefined)
  t.deepEqual(cluster.violations, [])
})
