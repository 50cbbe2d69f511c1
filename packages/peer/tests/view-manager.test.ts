import { SilentEventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import { toIncarnation, toInstanceId } from '@hibiscusledge/runtime/identifiers.js'
import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import test from 'ava'
import type { MemberRecord } from '../src/store-records.js'
import { ViewManager } from '../src/view-manager.js'
import { FakeStore } from './fake-store.js'

const createRecord = (name: string): MemberRecord => ({
  instance: toInstanceId(name), incarnation: toIncarnation('1'), address: `${name}:1`, failureDomain: 'd', isDraining: false, startedAt: 1
})

test('a member stays required until a view without it is confirmed, also after a lost response', async (t) => {
  const clock = new FakeClock()
  const random = new SeededRandomSource(1)
  const store = new FakeStore(clock, random)
  const client = store.connect()
  const views = new ViewManager(client, clock, random, new SilentEventLogger(), createRecord('o'))
  store.put('hl/alive/o', '')
  const state = { registration: 1, aliveRevision: store.values.get('hl/alive/o')?.modRevision ?? 0 }
  const all = ['o', 'm', 'n'].map(createRecord)
  void views.updateView(state, all, () => true)
  await clock.advanceBy(1)
  t.false(store.values.has('hl/view/o/1'))
  t.deepEqual([...views.listRequiredMemberKeys()].sort(), ['m/1', 'n/1'], 'required before the larger view is written')
  await clock.advanceBy(50)
  t.deepEqual(views.listConfirmedMembers().map(({ instance }) => String(instance)), ['m', 'n', 'o'])
  client.responseLossProbability = 1
  const withoutM = all.filter(({ instance }) => instance !== 'm')
  void views.updateView(state, withoutM, () => true)
  await clock.advanceBy(6_000)
  void views.updateView(state, withoutM, () => true)
  await clock.advanceBy(2_000)
  t.false(store.values.get('hl/view/o/1')?.value.includes('"m"'), 'the smaller view is stored')
  t.true(views.listRequiredMemberKeys().includes('m/1'), 'the write of the smaller view is not confirmed')
  client.responseLossProbability = 0
  void views.updateView(state, withoutM, () => true)
  await clock.advanceBy(50)
  t.deepEqual(views.listRequiredMemberKeys(), ['n/1'])
})
