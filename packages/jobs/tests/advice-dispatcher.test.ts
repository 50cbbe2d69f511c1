import { SilentEventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import test from 'ava'
import { AdviceDispatcher } from '../src/advice-dispatcher.js'
import { JOB_MESSAGES } from '../src/job-messages.js'
import type { Urgency } from '../src/urgency.js'
import { FakeMesh } from './fake-peer-network.js'

const LONG = { decisionMs: 500, perTargetMs: 5, validityMs: 2_000 }
const SHORT = { decisionMs: 9, perTargetMs: 0.1, validityMs: 2_000 }

function createUrgency (latestStartMs: number): Urgency {
  return { band: 0, latestStartMs }
}

interface Fixture {
  readonly network: ReturnType<FakeMesh['createNetwork']>
  readonly clock: FakeClock
  readonly dispatcher: AdviceDispatcher
  readonly asked: { readonly instance: string, readonly stepName: string }[]
  addInstance: (name: string, isFailing?: boolean) => void
}

function createDispatcher (isOwnerFailing = false): Fixture {
  const clock = new FakeClock()
  const mesh = new FakeMesh()
  const asked: { instance: string, stepName: string }[] = []
  const addInstance = (name: string, isFailing = false): ReturnType<FakeMesh['createNetwork']> => {
    const network = mesh.createNetwork(name)
    let freeAtMs = 0
    network.registerHandler(JOB_MESSAGES.askAdvice, async (body) => {
      const { stepName } = body as { stepName: string }
      asked.push({ instance: name, stepName })
      if (isFailing) return undefined
      freeAtMs = Math.max(freeAtMs, clock.readMonotonicMs()) + (stepName.startsWith('long') ? 500 : 10)
      await new Promise<void>((resolve) => { clock.startTimer(freeAtMs - clock.readMonotonicMs(), resolve) })
      return [{ targetId: 't0', ticket: 'x' }]
    })
    return network
  }
  const network = addInstance('owner', isOwnerFailing)
  const dispatcher = new AdviceDispatcher(clock, new SilentEventLogger(), network)
  return { clock, dispatcher, network, asked, addInstance }
}

// Shortly after a takeover the owner is connected to no other instance. Guards against a backlog behind one instance, which once
// delayed short requests by seconds.
test('requests wait for a free instance, so that one that connects later takes its share', async (t) => {
  const { clock, dispatcher, asked, addInstance } = createDispatcher()
  for (let index = 0; index < 4; index++) void dispatcher.fetchAdvice(`long${index}`, ['t0'], LONG, createUrgency(index))
  await clock.advanceBy(50)
  t.is(asked.length, 1)
  addInstance('late')
  await clock.advanceBy(50)
  t.true(asked.some((request) => request.instance === 'late'))
})

test('a short request does not wait behind long ones while an instance is free', async (t) => {
  const { clock, dispatcher, addInstance } = createDispatcher()
  for (const name of ['p1', 'p2', 'p3', 'p4']) addInstance(name)
  for (let index = 0; index < 10; index++) void dispatcher.fetchAdvice(`long${index}`, ['t0'], LONG, createUrgency(index))
  let isAnswered = false
  void dispatcher.fetchAdvice('short', ['t0'], SHORT, createUrgency(99)).then(() => { isAnswered = true })
  await clock.advanceBy(60)
  t.true(isAnswered)
})

test('the most urgent request is sent first', async (t) => {
  const { clock, dispatcher, asked } = createDispatcher()
  void dispatcher.fetchAdvice('long-first', ['t0'], LONG, createUrgency(0))
  void dispatcher.fetchAdvice('long-later', ['t0'], LONG, createUrgency(9))
  void dispatcher.fetchAdvice('long-sooner', ['t0'], LONG, createUrgency(1))
  await clock.advanceBy(2_000)
  t.deepEqual(asked.map((request) => request.stepName), ['long-first', 'long-sooner', 'long-later'])
})

test('a request that one instance could not get answered is sent to another', async (t) => {
  const { clock, dispatcher, asked, addInstance } = createDispatcher()
  addInstance('broken', true)
  let answer: unknown
  void dispatcher.fetchAdvice('short', ['t0'], SHORT, createUrgency(0)).then((result) => { answer = result })
  for (let step = 0; step < 20; step++) await clock.advanceBy(10)
  t.deepEqual(answer, [{ targetId: 't0', ticket: 'x' }])
  t.true(asked.length <= 2)
})

// The machine of an instance has failed and its link is not yet known to be down. Guards against requests that each wait for it.
test('an instance that gave no answer is skipped while others answer', async (t) => {
  const { clock, dispatcher, asked, addInstance } = createDispatcher()
  addInstance('broken', true)
  for (let index = 0; index < 10; index++) {
    void dispatcher.fetchAdvice(`short${index}`, ['t0'], SHORT, createUrgency(index))
    await clock.advanceBy(50)
  }
  t.is(asked.filter((request) => request.instance === 'broken').length, 1)
})

test('an instance that gave no answer is asked again when there is no other', async (t) => {
  const { clock, dispatcher, asked } = createDispatcher(true)
  for (const name of ['short0', 'short1']) {
    void dispatcher.fetchAdvice(name, ['t0'], SHORT, createUrgency(0))
    await clock.advanceBy(100)
  }
  t.true(asked.some((request) => request.stepName === 'short1'))
})

// A takeover with a backlog: the first placement round requests advice on every step. Guards against work that is quadratic in
// the number of requests, which blocked the new owner's event loop for hundreds of milliseconds.
test('requests made together are dispatched together', async (t) => {
  const { clock, dispatcher, network, asked, addInstance } = createDispatcher()
  for (const name of ['p1', 'p2', 'p3', 'p4']) addInstance(name)
  let listings = 0
  const { listConnected } = network
  network.listConnected = () => {
    listings++
    return listConnected()
  }
  for (let index = 0; index < 300; index++) void dispatcher.fetchAdvice(`short${index}`, ['t0'], SHORT, createUrgency(index))
  await clock.advanceBy(1)
  t.true(listings <= 300, String(listings))
  t.deepEqual(asked.map((request) => request.stepName), asked.map((_, index) => `short${index}`))
})

test('instances are spare only while most of those that take long calls are free and no request waits', async (t) => {
  const { clock, dispatcher, addInstance } = createDispatcher()
  for (const name of ['p1', 'p2', 'p3', 'p4', 'p5', 'p6']) addInstance(name)
  t.true(dispatcher.hasSpareInstances(500))
  for (let index = 0; index < 3; index++) void dispatcher.fetchAdvice(`long${index}`, ['t0'], LONG, createUrgency(index))
  t.false(dispatcher.hasSpareInstances(500))
  t.true(dispatcher.hasSpareInstances(10), 'short calls have more instances')
  for (let index = 3; index < 12; index++) void dispatcher.fetchAdvice(`long${index}`, ['t0'], LONG, createUrgency(index))
  await clock.advanceBy(20)
  t.false(dispatcher.hasSpareInstances(10), 'a request waits')
})
