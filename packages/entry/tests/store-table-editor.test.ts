import test from 'ava'
import { InMemoryStore } from '@hibiscusledge/store/in-memory-store.js'
import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import { StoreTableEditor } from '../src/store-table-editor.js'

const TEXTS = {
  routes: 'kind,customer,team,pool,urgency,cores,memoryMb,accelerators,tasks,idempotent,exclusive,resumable,service,runtimeMs,deadlineMs,retryLimit\n' +
    'enquiry,,,p,urgent,,,,,yes,,,,,,\n',
  pools: 'pool,targets,failureDomains,racks,labels,slots,connections,maxQueueMsUrgent,maxQueueMsHigh,maxQueueMsNormal,maxQueueMsLow,' +
    'floorUrgentPercent,floorHighPercent,floorNormalPercent,floorLowPercent,limitUrgentPercent,limitHighPercent,limitNormalPercent,' +
    'limitLowPercent,teamQuotas\np,executor,,,,,,,,,,,,,,,,,,\n'
}

function createEditor (): { store: InMemoryStore, editor: StoreTableEditor } {
  const clock = new FakeClock()
  const store = new InMemoryStore(clock)
  return { store, editor: new StoreTableEditor(store, clock, new SeededRandomSource(1)) }
}

test('a change that was certainly not stored gives notApplied, not unknown', async (t) => {
  const { store, editor } = createEditor()
  store.setDown(true)
  t.is((await editor.applyTables(TEXTS, 0, 'operator')).type, 'notApplied')
})

test('of two changes based on the same revision one is accepted, and the other gets a conflict with both authors', async (t) => {
  const { editor } = createEditor()
  const results = await Promise.all(['first', 'second'].map(async (author) => await editor.applyTables(TEXTS, 0, author)))
  t.deepEqual(results.map(({ type }) => type).sort(), ['accepted', 'conflict'])
  t.like(results.find(({ type }) => type === 'conflict'), { currentAuthor: 'first', author: 'second', expectedRevision: 0 })
})
