import { PrometheusTargetList } from '@hibiscusledge/store/prometheus-target-list.js'
import { SystemClock } from '@hibiscusledge/runtime/system-clock.js'
import test from 'ava'
import { request } from 'undici'
import { StoreStandIn } from '../src/store-stand-in.js'
import { waitFor } from './wait-for.js'

const ENTRY = {
  targets: ['127.0.0.1:7000'],
  labels: { id: 'w1', kind: 'worker', state: 'live', failure_domain: 'a', rack: 'r', cores: '16', memory_mb: '65536' }
}

test('the instance list shows a leaving target after the configured delay, is available in a store outage, and has an outage of its own', async (t) => {
  const clock = new SystemClock()
  const standIn = new StoreStandIn({ clock })
  const { admin } = await standIn.start()
  const list = new PrometheusTargetList({ url: `http://${admin}/instances`, clock, timeoutMs: 20_000 })
  t.teardown(async () => {
    await list.close()
    await standIn.stop()
  })
  const post = async (path: string, body: object): Promise<number> => {
    const response = await request(`http://${admin}${path}`, { method: 'POST', body: JSON.stringify(body) })
    await response.body.dump()
    return response.statusCode
  }
  const readStates = async (): Promise<string[]> => (await list.fetchTargets()).unwrap().map(({ id, state }) => `${id} ${state}`)
  t.is(await post('/admin/faults', { down: true }), 200)
  t.is(await post('/admin/instances', { instances: [ENTRY, { targets: [], labels: { id: 'bad' } }] }), 200)
  t.deepEqual(await readStates(), ['w1 live'])
  t.is((await list.fetchListing()).unwrap().findings[0]?.place, 'instances[1].targets')
  t.is(await post('/admin/instances', { set: [{ id: 'w1', state: 'leaving' }], lagMs: 2_000 }), 200)
  t.deepEqual(await readStates(), ['w1 live'])
  await waitFor('leaving', async () => (await readStates())[0] === 'w1 leaving')
  await post('/admin/instances', { set: [{ id: 'w1', state: 'gone' }] })
  t.deepEqual(await readStates(), [])
  t.is(await post('/admin/faults', { listDown: true }), 200)
  t.like((await list.fetchListing()).val, [{ code: 'instanceListStatus' }])
  t.is(await post('/admin/faults', { unknown: 1 }), 400)
})
