import { toInstanceId, toUnitId, type UnitId } from '@hibiscusledge/runtime/identifiers.js'
import type { Transaction } from '@hibiscusledge/store/key-value-store.js'
import test from 'ava'
import { Err } from '@hibiscusledge/runtime/result.js'
import type { UnitOwner, UnitRole } from '../src/ownership-directory.js'
import { FakeCluster, type FakeProcess } from './fake-cluster.js'

const NAMES = ['1', '2', '3']

async function startCluster (seed: number, names = NAMES): Promise<{ cluster: FakeCluster, processes: FakeProcess[] }> {
  const cluster = new FakeCluster(seed)
  const processes = names.map((name) => cluster.start(name))
  await cluster.run(4_000)
  return { cluster, processes }
}

class RecordingRole implements UnitRole {
  readonly calls: string[] = []
  async startUnit (unit: UnitId, owner: UnitOwner): Promise<void> { this.calls.push(`start ${unit} ${owner.epoch}`) }
  async prepareHandOver (unit: UnitId): Promise<void> { this.calls.push(`prepare ${unit}`) }
  async resumeUnit (unit: UnitId, owner: UnitOwner): Promise<void> { this.calls.push(`resume ${unit} ${owner.epoch}`) }
  stopUnit (unit: UnitId): void { this.calls.push(`stop ${unit}`) }
}

/** Refuses to hand units over. */
class UnpreparedRole extends RecordingRole {
  override async prepareHandOver (unit: UnitId): Promise<void> {
    await super.prepareHandOver(unit)
    throw new Error('refused by the test')
  }
}

test('FakeCluster reports a violation when an instance takes over before its own promise has expired', async (t) => {
  const cluster = new FakeCluster(3)
  const [first] = [cluster.start('1'), cluster.start('3')]
  cluster.start('2', undefined, { absenceThresholdMs: 0, promiseTtlMs: 0, promiseMarginMs: -2_000 })
  await cluster.run(4_000)
  if (first !== undefined) first.store.isDisconnected = true
  await cluster.run(6_000)
  t.true(cluster.violations.length > 0)
})

test('owners keep their authority during a store outage while all members give promises', async (t) => {
  const { cluster } = await startCluster(4)
  cluster.store.isDown = true
  for (let second = 0; second < 60; second++) {
    await cluster.run(1_000)
    t.true(cluster.isServedBy(NAMES), `after ${second + 1} s`)
  }
  cluster.store.isDown = false
  const passedMs = await cluster.runUntil(() => cluster.isServedBy(NAMES), 8_000)
  t.not(passedMs, undefined)
  t.deepEqual(cluster.violations, [])
})

test('promise authority ends 600 s after the last renewal of the lease', async (t) => {
  const { cluster, processes } = await startCluster(5, ['1', '2'])
  cluster.store.isDown = true
  await cluster.run(590_000)
  t.true(cluster.isServedBy(['1', '2']))
  await cluster.run(12_000)
  t.true(processes.every(({ node }) => node.ownership.listHeld().every((unit) => !node.ownership.hasAuthority(unit))))
})

test('an owner paused beyond its lease has no authority when it resumes, and drops the units that were taken over', async (t) => {
  const { cluster, processes: [first] } = await startCluster(6)
  const held = first?.node.ownership.listHeld() ?? []
  first?.control.pause()
  t.not(await cluster.runUntil(() => cluster.isServedBy(['2', '3']), 8_000), undefined)
  first?.control.resume(true)
  t.true(held.every((unit) => first?.node.ownership.hasAuthority(unit) === false))
  const hasReturned = (): boolean => cluster.isServedBy(NAMES) && first?.node.ownership.listHeld().length === held.length
  t.not(await cluster.runUntil(hasReturned, 12_000), undefined)
  t.deepEqual(cluster.violations, [])
})

test('an owner that is disconnected from the store loses its units to a member, although its links work', async (t) => {
  const { cluster, processes: [first] } = await startCluster(7)
  if (first !== undefined) first.store.isDisconnected = true
  t.not(await cluster.runUntil(() => cluster.isServedBy(['2', '3']), 12_000), undefined)
  t.deepEqual(cluster.violations, [])
})

test('units of two owners killed at the same time are taken over by the other members of their views', async (t) => {
  const { cluster, processes } = await startCluster(8, ['1', '2', '3', '4', '5'])
  for (const process of processes.slice(0, 2)) process.control.kill()
  t.not(await cluster.runUntil(() => cluster.isServedBy(['3', '4', '5']), 10_000), undefined)
})

test('after a restart of all instances at the same addresses, units are served without waiting for the limit of promise authority', async (t) => {
  const { cluster, processes } = await startCluster(9)
  for (const { control } of processes) control.kill()
  await cluster.run(500)
  for (const name of NAMES) cluster.start(name)
  const passedMs = await cluster.runUntil(() => cluster.isServedBy(NAMES), 15_000)
  t.log(`served after ${passedMs} ms`)
  t.not(passedMs, undefined)
})

test('an instance outside the view of a killed owner takes over only after the limit of promise authority', async (t) => {
  const { cluster, processes } = await startCluster(10, ['1'])
  processes[0]?.control.kill()
  cluster.start('2')
  await cluster.run(595_000)
  t.false(cluster.isServedBy(['2']))
  t.not(await cluster.runUntil(() => cluster.isServedBy(['2']), 20_000), undefined)
})

test('a rolling replacement of all instances leaves every unit served', async (t) => {
  const { cluster, processes } = await startCluster(11)
  for (const [index, { node }] of processes.entries()) {
    cluster.start(String(index + 4))
    await cluster.run(2_000)
    let isDrained = false
    void node.drain().then(async () => await node.stop()).then(() => { isDrained = true })
    t.not(await cluster.runUntil(() => isDrained, 20_000), undefined)
    processes[index]?.control.kill()
  }
  t.not(await cluster.runUntil(() => cluster.isServedBy(['4', '5', '6']), 10_000), undefined)
  t.deepEqual(cluster.violations, [])
})

test('a hand-over prepares the unit, transfers it with the next epoch and stops it at the previous owner', async (t) => {
  const { cluster, processes: [first] } = await startCluster(12, ['1'])
  const role = new RecordingRole()
  first?.node.ownership.registerRole('partition/', role)
  const second = cluster.start('2')
  t.not(await cluster.runUntil(() => second.node.ownership.listHeld().length > 0 && cluster.isServedBy(['1', '2']), 8_000), undefined)
  const [unit] = second.node.ownership.listHeld()
  t.deepEqual(role.calls.filter((call) => call.includes(` ${unit}`)), [`start ${unit} 1`, `prepare ${unit}`, `stop ${unit}`])
  t.is(first?.node.ownership.findOwner(unit ?? toUnitId(''))?.epoch, 2)
  t.is(first?.node.ownership.findOwner(unit ?? toUnitId(''))?.instance, toInstanceId('2'))
})

test('after a hand-over that could not be prepared the unit is resumed under the same epoch, without a stop', async (t) => {
  const { cluster, processes: [first] } = await startCluster(20, ['1'])
  const role = new UnpreparedRole()
  first?.node.ownership.registerRole('partition/', role)
  cluster.start('2')
  t.not(await cluster.runUntil(() => role.calls.some((call) => call.startsWith('resume')), 8_000), undefined)
  const unit = role.calls.find((call) => call.startsWith('resume'))?.split(' ')[1]
  t.deepEqual(role.calls.filter((call) => call.includes(` ${unit}`)).slice(0, 3), [`start ${unit} 1`, `prepare ${unit}`, `resume ${unit} 1`])
  await cluster.run(100)
  t.true(first?.node.ownership.hasAuthority(toUnitId(unit ?? '')))
})

test('a unit that a role registered late fails to start is started again', async (t) => {
  const { cluster, processes: [first] } = await startCluster(21, ['1'])
  const role = new RecordingRole()
  const startUnit = role.startUnit.bind(role)
  role.startUnit = async (unit, owner) => {
    await startUnit(unit, owner)
    if (role.calls.filter((call) => call === `start ${unit} 1`).length === 1) throw new Error('refused by the test')
  }
  first?.node.ownership.registerRole('partition/', role)
  t.not(await cluster.runUntil(() => role.calls.length === 32, 4_000), undefined)
  await cluster.run(2_000)
  t.is(role.calls.length, 32, 'each of the 16 partitions is started twice')
})

test('every unit gets exactly one owner although replies to successful writes are lost', async (t) => {
  const cluster = new FakeCluster(13)
  for (const name of NAMES) cluster.start(name).store.responseLossProbability = 0.5
  t.not(await cluster.runUntil(() => cluster.isServedBy(NAMES), 20_000), undefined)
  t.deepEqual(cluster.violations, [])
})

test('instances that create the layout at the same time use the one that was written first', async (t) => {
  const { cluster, processes } = await startCluster(14, ['1', '2', '3', '4', '5'])
  t.is(cluster.store.values.get('hl/layout')?.createRevision, cluster.store.values.get('hl/layout')?.modRevision)
  for (const { node } of processes) t.is(node.ownership.listUnits().length, 16)
})

test('an instance that starts during a store outage learns members and owners from peers and acquires no unit', async (t) => {
  const { cluster } = await startCluster(15)
  cluster.store.isDown = true
  const late = cluster.start('4')
  await cluster.run(4_000)
  t.is(late.node.readStoreState(), 'unreachable')
  t.deepEqual(late.node.members.listMembers().map(({ instance }) => String(instance)), ['1', '2', '3', '4'])
  t.is(late.node.ownership.listUnits().filter((unit) => late.node.ownership.findOwner(unit) !== undefined).length, 16)
  t.is(late.node.ownership.listHeld().length, 0)
  cluster.store.isDown = false
  t.not(await cluster.runUntil(() => late.node.ownership.listHeld().length > 0, 12_000), undefined)
  t.deepEqual(cluster.violations, [])
})

test('target shards get an owner like partitions', async (t) => {
  const { cluster, processes } = await startCluster(16)
  const unit = toUnitId('worker/nairobi-a')
  for (const { node } of processes) node.ownership.setShards([unit])
  t.not(await cluster.runUntil(() => processes.some(({ node }) => node.ownership.hasAuthority(unit)), 3_000), undefined)
})

test('when all instances start during a store outage, units are served once the store is back', async (t) => {
  const cluster = new FakeCluster(17)
  cluster.store.isDown = true
  for (const name of NAMES) cluster.start(name)
  await cluster.run(30_000)
  t.true(cluster.processes.every(({ node }) => node.ownership.listHeld().length === 0))
  cluster.store.isDown = false
  t.not(await cluster.runUntil(() => cluster.isServedBy(NAMES), 10_000), undefined)
})

test('views of ended incarnations that own no unit are deleted, others stay', async (t) => {
  const { cluster, processes } = await startCluster(18)
  processes[0]?.control.kill()
  await cluster.run(80_000)
  const views = [...cluster.store.values.keys()].filter((key) => key.startsWith('hl/view/'))
  t.deepEqual(views.sort(), ['hl/view/2/run2', 'hl/view/3/run3'])
})

test('a delayed takeover is refused if its owner has registered again since, even if that lease has expired too', async (t) => {
  const { cluster, processes: [first, ...others] } = await startCluster(19)
  const delayed: Transaction[] = []
  for (const { store } of others) {
    store.commitTransaction = async (transaction) => {
      if (transaction.mutations.some((mutation) => mutation.type === 'put' && mutation.key.startsWith('hl/owner/'))) delayed.push(transaction)
      return new Err({ code: 'timeout', message: 'delayed by the test', isEffectUnknown: true })
    }
  }
  const setDisconnected = (isDisconnected: boolean): void => { if (first !== undefined) first.store.isDisconnected = isDisconnected }
  const hasAuthority = (): boolean => first?.node.ownership.listHeld().every((unit) => first.node.ownership.hasAuthority(unit)) === true
  setDisconnected(true)
  t.not(await cluster.runUntil(() => delayed.length > 0, 12_000), undefined)
  setDisconnected(false)
  t.not(await cluster.runUntil(hasAuthority, 8_000), undefined)
  await cluster.run(3_000)
  setDisconnected(true)
  t.not(await cluster.runUntil(() => !cluster.store.values.has('hl/alive/1'), 4_000), undefined)
  t.true(hasAuthority(), 'the promises for the new registration are still valid')
  for (const transaction of delayed) t.false(cluster.store.commit(transaction).unwrap().isCommitted)
  await cluster.run(500)
  t.deepEqual(cluster.violations, [])
})
