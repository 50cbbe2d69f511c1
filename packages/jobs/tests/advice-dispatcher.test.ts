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
  readonly asked: { readonly helper: string, readonly stepName: string }[]
  addHelper: (name: string, isFailing?: boolean) => void
}

function createDispatcher (isOwnerFailing = false): Fixture {
  const clock = new FakeClock()
  const mesh = new FakeMesh()
  const asked: { helper: string, stepName: string }[] = []
  const addHelper = (name: string, isFailing = false): ReturnType<FakeMesh['createNetwork']> => {
    const network = mesh.createNetwork(name)
    let freeAtMs = 0
    network.registerHandler(JOB_MESSAGES.askAdvice, async (body) => {
      const { stepName } = body as { stepName: string }
      asked.push({ helper: name, stepName })
      if (isFailing) return undefined
      freeAtMs = Math.max(freeAtMs, clock.readMonotonicMs()) + (stepName.startsWith('long') ? 500 : 10)
      await new Promise<void>((resolve) => { clock.startTimer(freeAtMs - clock.readMonotonicMs(), resolve) })
      return [{ targetId: 't0', ticket: 'x' }]
    })
    return network
  }
  const network = addHelper('owner', isOwnerFailing)
  const dispatcher = new AdviceDispatcher(clock, new SilentEventLogger(), network)
  return { clock, dispatcher, network, asked, addHelper }
}

// After a takeover the owner has no helpers for a moment; a backlog behind one of them once delayed quick enquiries by seconds.
test('questions wait for a free helper, so one that connects later takes its part', async (t) => {
  const { clock, dispatcher, asked, addHelper } = createDispatcher()
  for (let index = 0; index < 4; index++) void dispatcher.fetchAdvice(`long${index}`, ['t0'], LONG, createUrgency(index))
  await clock.advanceBy(50)
  t.is(asked.length, 1)
  addHelper('late')
  await clock.advanceBy(50)
  t.true(asked.some((question) => question.helper === 'late'))
})

test('a quick question is not put behind long ones when a helper is free', async (t) => {
  const { clock, dispatcher, addHelper } = createDispatcher()
  for (const name of ['p1', 'p2', 'p3', 'p4']) addHelper(name)
  for (let index = 0; index < 10; index++) void dispatcher.fetchAdvice(`long${index}`, ['t0'], LONG, createUrgency(index))
  let isAnswered = false
  void dispatcher.fetchAdvice('short', ['t0'], SHORT, createUrgency(99)).then(() => { isAnswered = true })
  await clock.advanceBy(60)
  t.true(isAnswered)
})

test('the more urgent question goes first', async (t) => {
  const { clock, dispatcher, asked } = createDispatcher()
  void dispatcher.fetchAdvice('long-first', ['t0'], LONG, createUrgency(0))
  void dispatcher.fetchAdvice('long-later', ['t0'], LONG, createUrgency(9))
  void dispatcher.fetchAdvice('long-sooner', ['t0'], LONG, createUrgency(1))
  await clock.advanceBy(2_000)
  t.deepEqual(asked.map((question) => question.stepName), ['long-first', 'long-sooner', 'long-later'])
})

test('a question that a helper could not ask goes to another', async (t) => {
  const { clock, dispatcher, asked, addHelper } = createDispatcher()
  addHelper('broken', true)
  let answer: unknown
  void dispatcher.fetchAdvice('short', ['t0'], SHORT, createUrgency(0)).then((result) => { answer = result })
  for (let step = 0; step < 20; step++) await clock.advanceBy(10)
  t.deepEqual(answer, [{ targetId: 't0', ticket: 'x' }])
  t.true(asked.length <= 2)
})

// Pattern: an instance has lost its machine and its links are not yet known to be dead. Guards against questions that each wait for it.
test('a helper that gave no answer is left out while others answer', async (t) => {
  const { clock, dispatcher, asked, addHelper } = createDispatcher()
  addHelper('broken', true)
  for (let index = 0; index < 10; index++) {
    void dispatcher.fetchAdvice(`short${index}`, ['t0'], SHORT, createUrgency(index))
    await clock.advanceBy(50)
  }
  t.is(asked.filter((question) => question.helper === 'broken').length, 1)
})

test('helpers that gave no answer are asked again when there is no other', async (t) => {
  const { clock, dispatcher, asked } = createDispatcher(true)
  for (const name of ['short0', 'short1']) {
    void dispatcher.fetchAdvice(name, ['t0'], SHORT, createUrgency(0))
    await clock.advanceBy(100)
  }
  t.true(asked.some((question) => question.stepName === 'short1'))
})

// Pattern: a takeover with a backlog, whose steps are all asked about in the first round of placement. Guards against work that
// grows with the square of the questions, which held the new owner's loop up for hundreds of milliseconds.
test('questions asked together are dispatched together', async (t) => {
  const { clock, dispatcher, network, asked, addHelper } = createDispatcher()
  for (const name of ['p1', 'p2', 'p3', 'p4']) addHelper(name)
  let listings = 0
  const { listConnected } = network
  network.listConnected = () => {
    listings++
    return listConnected()
  }
  for (let index = 0; index < 300; index++) void dispatcher.fetchAdvice(`short${index}`, ['t0'], SHORT, createUrgency(index))
  await clock.advanceBy(1)
  t.true(listings <= 300, String(listings))
  t.deepEqual(asked.map((question) => question.stepName), asked.map((_, index) => `short${index}`))
})
