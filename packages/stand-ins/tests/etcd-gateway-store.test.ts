import { EtcdGatewayStore, type EtcdGatewayStoreOptions } from '@hibiscusledge/store/etcd-gateway-store.js'
import type { KeyValueStore, TransactionOutcome, WatchHandler } from '@hibiscusledge/store/key-value-store.js'
import type { StoreError } from '@hibiscusledge/store/store-error.js'
import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import { SystemClock } from '@hibiscusledge/runtime/system-clock.js'
import test, { type ExecutionContext } from 'ava'
import type { Result } from '@hibiscusledge/runtime/result.js'
import { StandInServer } from '../src/stand-in-server.js'
import { StoreStandIn, type StoreFaults } from '../src/store-stand-in.js'
import { waitFor } from './wait-for.js'

const clock = new SystemClock()

async function startStandIn (t: ExecutionContext, standInClock: Clock = clock): Promise<{ standIn: StoreStandIn, endpoint: string }> {
  const standIn = new StoreStandIn({ clock: standInClock, progressMs: 50 })
  const { store } = await standIn.start()
  t.teardown(async () => await standIn.stop())
  return { standIn, endpoint: `http://${store}` }
}

function createStore (t: ExecutionContext, options: Partial<EtcdGatewayStoreOptions> & { endpoints: string[] }): EtcdGatewayStore {
  const store = new EtcdGatewayStore({ clock, requestTimeoutMs: 20_000, ...options })
  t.teardown(async () => await store.close())
  return store
}

async function putKey (store: KeyValueStore, key: string, value = ''): Promise<Result<TransactionOutcome, StoreError>> {
  return await store.commitTransaction({ comparisons: [], mutations: [{ type: 'put', key, value }] }, 'critical')
}

interface FaultCase {
  readonly name: string
  readonly faults: StoreFaults
  readonly expectedWriteError: Partial<StoreError>
  readonly hasEffect: boolean
  readonly expectedReadError: Partial<StoreError> | undefined
}

const FAULT_CASES: readonly FaultCase[] = [
  { name: 'down', faults: { down: true }, expectedWriteError: { code: 'unavailable', isEffectUnknown: false }, hasEffect: false, expectedReadError: { code: 'unavailable', isEffectUnknown: false } },
  { name: 'hung', faults: { hang: true }, expectedWriteError: { code: 'timeout', isEffectUnknown: true }, hasEffect: false, expectedReadError: { code: 'timeout', isEffectUnknown: false } },
  { name: 'slower than the timeout', faults: { slowMs: 1_000 }, expectedWriteError: { code: 'timeout', isEffectUnknown: true }, hasEffect: true, expectedReadError: { code: 'timeout', isEffectUnknown: false } },
  { name: 'losing responses', faults: { loseNextReplies: 1 }, expectedWriteError: { code: 'unavailable', isEffectUnknown: true }, hasEffect: true, expectedReadError: undefined },
  { name: 'losing all responses', faults: { loseReplyFraction: 1, seed: 7 }, expectedWriteError: { code: 'unavailable', isEffectUnknown: true }, hasEffect: true, expectedReadError: undefined },
  { name: 'over its rate limits', faults: { rates: { writesPerSecond: 0, readsPerSecond: 0 } }, expectedWriteError: { code: 'rateLimited', isEffectUnknown: false }, hasEffect: false, expectedReadError: { code: 'rateLimited', isEffectUnknown: false } }
]

for (const { name, faults, expectedWriteError, hasEffect, expectedReadError } of FAULT_CASES) {
  test(`a write to a store that is ${name} never fails as if it had no effect when it took effect`, async (t) => {
    // The timeout elapses only after the call has arrived, so that a call cannot time out before it was sent on a busy machine.
    const storeClock = new FakeClock()
    const standInClock = new FakeClock()
    const { standIn, endpoint } = await startStandIn(t, standInClock)
    const store = createStore(t, { endpoints: [endpoint], clock: storeClock, requestTimeoutMs: 400 })
    const advancePastTimeout = async (expected: Partial<StoreError> | undefined, kind: 'reads' | 'writes'): Promise<void> => {
      if (expected?.code !== 'timeout') return
      await waitFor('the call arrives', () => standIn.readCounters().totals[kind] === 1)
      await storeClock.advanceBy(400)
    }
    await standIn.setFaults(faults)
    const writing = putKey(store, 'key')
    await advancePastTimeout(expectedWriteError, 'writes')
    t.like((await writing).val, expectedWriteError)
    const reading = store.readKey('key', 'critical')
    await advancePastTimeout(expectedReadError, 'reads')
    const result = await reading
    if (expectedReadError === undefined) t.true(result.ok)
    else t.like(result.val, expectedReadError)
    await standInClock.advanceBy(faults.slowMs ?? 0)
    if (hasEffect) await waitFor('the effect', () => standIn.keySpace.readKey('key') !== undefined)
    else t.is(standIn.keySpace.readKey('key'), undefined)
    await standIn.setFaults({ down: false, hang: false, slowMs: 0, loseReplyFraction: 0, rates: null })
    await waitFor('a later call succeeds', async () => (await putKey(store, 'later')).ok)
  })
}

test('a call skips an endpoint that refuses connections, even if it is a write, since a refused connection proves that it had no effect', async (t) => {
  const refusing = await startStandIn(t)
  const available = await startStandIn(t)
  await refusing.standIn.setFaults({ down: true })
  const store = createStore(t, { endpoints: [refusing.endpoint, available.endpoint] })
  t.true((await putKey(store, 'key')).ok)
  t.not(available.standIn.keySpace.readKey('key'), undefined)
})

test('a write whose response was lost is not retried at another endpoint, but the next call goes there', async (t) => {
  const first = await startStandIn(t)
  const second = await startStandIn(t)
  await first.standIn.setFaults({ loseNextReplies: 1 })
  const store = createStore(t, { endpoints: [first.endpoint, second.endpoint] })
  t.like((await putKey(store, 'key')).val, { isEffectUnknown: true })
  t.is(second.standIn.keySpace.readKey('key'), undefined)
  t.true((await putKey(store, 'next')).ok)
  t.not(second.standIn.keySpace.readKey('next'), undefined)
})

const IDLE_LIMIT_MS = 1_000

/** Counts the restarts of a watch's idle timer, each of which shows that a message arrived. */
class IdleTimerCountingClock extends FakeClock {
  idleTimers = 0

  override startTimer (delayMs: number, callback: () => void): Timer {
    if (delayMs === IDLE_LIMIT_MS) this.idleTimers++
    return super.startTimer(delayMs, callback)
  }
}

test('progress messages keep an idle watch open, and an unresponsive watch is closed although its connection is open', async (t) => {
  const { standIn, endpoint } = await startStandIn(t)
  const watchClock = new IdleTimerCountingClock()
  const store = createStore(t, { endpoints: [endpoint], clock: watchClock, watchIdleTimeoutMs: IDLE_LIMIT_MS })
  const closures: string[] = []
  let events = 0
  const handler: WatchHandler = { onEvents: () => { events++ }, onClosed: (reason) => { closures.push(reason) } }
  store.watchPrefix('', 0, handler)
  await waitFor('the watch is open', () => standIn.readCounters().waitingWatches === 1)
  for (let message = 0; message < 3; message++) {
    const before = watchClock.idleTimers
    await waitFor('a progress message', () => watchClock.idleTimers > before)
    await watchClock.advanceBy(IDLE_LIMIT_MS - 1)
  }
  t.deepEqual(closures, [])
  await standIn.setFaults({ silence: true })
  await waitFor('the unresponsive watch is closed', async () => {
    await watchClock.advanceBy(IDLE_LIMIT_MS)
    return closures.length === 1
  })
  t.regex(closures[0] ?? '', /no message for 1000 ms/)
  await waitFor('the stand-in detects that it is closed', () => standIn.readCounters().waitingWatches === 0)
  store.watchPrefix('', 0, handler)
  await waitFor('a new watch is open', () => standIn.readCounters().waitingWatches === 1)
  await putKey(createStore(t, { endpoints: [endpoint] }), 'key')
  await waitFor('its event', () => events === 1)
  await standIn.setFaults({ down: true })
  await waitFor('an outage closes it', () => closures.length === 2)
})

test('a store that alternates between up and down serves again after each outage', async (t) => {
  const { standIn, endpoint } = await startStandIn(t)
  const store = createStore(t, { endpoints: [endpoint] })
  await standIn.setFaults({ flap: { upMs: 100, downMs: 100 } })
  for (let cycle = 0; cycle < 2; cycle++) {
    await waitFor('an outage', async () => (await store.readKey('key', 'background')).err)
    await waitFor('service', async () => (await store.readKey('key', 'background')).ok)
  }
  await standIn.setFaults({ flap: null })
  await waitFor('lasting service', async () => (await putKey(store, 'key')).ok)
  t.not(standIn.keySpace.readKey('key'), undefined)
})

const ERROR_RESPONSE_CASES: ReadonlyArray<readonly [string, number, unknown, Partial<StoreError>]> = [
  ['no leader', 503, { error: 'etcdserver: no leader', code: 14 }, { code: 'unavailable', isEffectUnknown: true }],
  ['a timed-out proposal', 504, { error: 'etcdserver: request timed out', code: 4 }, { code: 'timeout', isEffectUnknown: true }],
  ['a full queue of proposals', 429, { message: 'etcdserver: too many requests', code: 8 }, { code: 'rateLimited', isEffectUnknown: false }],
  ['an error body of an older etcd version', 400, { error: 'etcdserver: request is too large' }, { code: 'tooLarge', isEffectUnknown: true }],
  ['an error body that is not a JSON object', 502, 'bad gateway', { code: 'unavailable', isEffectUnknown: true }],
  ['a success without a header', 200, { succeeded: true }, { code: 'protocol', isEffectUnknown: true }],
  ['a success whose header has the wrong type', 200, { header: { revision: 'x' } }, { code: 'protocol', isEffectUnknown: true }]
]
for (const [name, status, body, expected] of ERROR_RESPONSE_CASES) {
  test(`a write whose response is ${name} counts as without effect only when that is certain`, async (t) => {
    const server = new StandInServer(() => ({ status, body }))
    const endpoint = `http://${await server.start(0)}`
    t.teardown(async () => await server.stop())
    const store = createStore(t, { endpoints: [endpoint] })
    t.like((await putKey(store, 'key')).val, expected)
  })
}
