import test from 'ava'
import { createReport, type PendingCall } from './scripted-target-gateway.js'
import { createSessionFixture, EARLIER, LATER, listAsDone, type SessionFixture } from './session-fixture.js'

const POLL_RETRY_MS = 250
const POLL_PERIOD_MS = 250

function readLastToken (calls: readonly PendingCall<{ readonly fencingToken: number }, never>[]): number {
  return calls.at(-1)?.order.fencingToken ?? 0
}

/** Creates a session that has lost the answer to a poll by which the target may drop an end. */
async function createFixtureWithLostAcknowledgement (): Promise<SessionFixture & { readonly lostToken: number }> {
  const fixture = await createSessionFixture()
  const { clock, gateway, start, unstored } = fixture
  const run = start(1)
  await gateway.starts[0]?.answer({ targetClockMs: EARLIER.targetClockMs + 50 })
  await gateway.polls[0]?.answer(createReport({ ...EARLIER, targetClockMs: EARLIER.targetClockMs + 60, ended: [listAsDone(run, 1)] }))
  for (const callback of unstored) callback()
  await clock.advanceBy(POLL_PERIOD_MS)
  const lostToken = readLastToken(gateway.polls)
  await gateway.polls[0]?.lose()
  await clock.advanceBy(POLL_RETRY_MS)
  return { ...fixture, lostToken }
}

// Guards against a start order without an answer that a later incarnation of the target carries out (review/10): its task has been
// started elsewhere meanwhile.
test('the orders after a start without an answer fence it off', async (t) => {
  const { gateway, start } = await createSessionFixture()
  start(1)
  const lostToken = readLastToken(gateway.starts)
  await gateway.starts[0]?.lose()
  t.true(readLastToken(gateway.polls) > lostToken)
  start(2)
  t.true(readLastToken(gateway.starts) > lostToken)
})

// Guards against ends that a later incarnation drops unseen (review/10): a poll that acknowledged earlier ends is carried out late.
test('the orders after an acknowledgement without an answer fence it off', async (t) => {
  const { gateway, lostToken } = await createFixtureWithLostAcknowledgement()
  t.true(readLastToken(gateway.polls) > lostToken)
})

// Guards against calls that were on their way when the target restarted.
test('the orders after a restart fence off those that were sent before', async (t) => {
  const { clock, gateway, start } = await createSessionFixture()
  await gateway.polls[0]?.lose()
  await clock.advanceBy(POLL_RETRY_MS)
  const tokenBefore = readLastToken(gateway.polls)
  await gateway.polls[0]?.answer(createReport(LATER))
  start(1)
  t.true(readLastToken(gateway.starts) > tokenBefore)
})

test('the orders after an answer on a clock that was set back fence off those that were sent before', async (t) => {
  const { gateway, start } = await createSessionFixture()
  start(1)
  const tokenBefore = readLastToken(gateway.starts)
  await gateway.starts[0]?.answer({ targetClockMs: LATER.targetClockMs })
  t.true(readLastToken(gateway.polls) > tokenBefore)
})

// Guards against a token that rises with each lost poll, of which a dead target has several a second.
test('a poll without an answer that acknowledges nothing raises no token', async (t) => {
  const { clock, gateway, tokens } = await createSessionFixture()
  for (let round = 0; round < 5; round++) {
    await gateway.polls[0]?.lose()
    await clock.advanceBy(POLL_RETRY_MS)
  }
  t.is(tokens.readNewestToken(), 1)
})

test('of several orders with one token that are lost, only the first raises the token', async (t) => {
  const { gateway, start, tokens } = await createSessionFixture()
  for (const number of [1, 2, 3]) start(number)
  for (const lost of [...gateway.starts]) await lost.lose()
  t.is(tokens.readNewestToken(), 2)
})

// Guards against an owner that retires because a target has refused one of its own orders, which a later one had overtaken.
test('a start that an order with a higher token has overtaken is sent again', async (t) => {
  const { gateway, isFenced, outcomes, start } = await createSessionFixture()
  start(1)
  start(2)
  await gateway.starts[0]?.lose()
  await gateway.starts[0]?.refuse('fenced')
  t.false(isFenced())
  t.is(gateway.starts.length, 1)
  t.is(gateway.starts[0]?.order.run, 2)
  t.true(readLastToken(gateway.starts) > 1)
  t.deepEqual([...outcomes], [])
})

test('a stop and a poll that an order with a higher token has overtaken are sent again', async (t) => {
  const { clock, gateway, isFenced, session, start } = await createSessionFixture()
  const run = start(1)
  start(2)
  await gateway.starts[0]?.answer({ targetClockMs: EARLIER.targetClockMs + 50 })
  session.requestStop(run)
  await gateway.starts[0]?.lose()
  await gateway.stops[0]?.refuse('fenced')
  t.is(gateway.stops.length, 1)
  t.true(readLastToken(gateway.stops) > 1)
  await gateway.polls[0]?.refuse('fenced')
  await clock.advanceBy(1)
  t.true(gateway.polls.every(({ order }) => order.fencingToken > 1))
  t.false(isFenced())
})

test('an order with the newest token that is refused shows a newer owner', async (t) => {
  const { gateway, isFenced, start } = await createSessionFixture()
  start(1)
  await gateway.starts[0]?.lose()
  start(2)
  await gateway.starts[0]?.refuse('fenced')
  t.true(isFenced())
})

// Guards against orders that wait for the store, which may be away when an answer is lost.
test('while no higher token is issued the orders go on with the one before', async (t) => {
  const { gateway, start, tokens } = await createSessionFixture()
  tokens.isHeldBack = true
  start(1)
  await gateway.starts[0]?.lose()
  start(2)
  t.is(readLastToken(gateway.starts), 1)
  tokens.grant()
  start(3)
  t.is(readLastToken(gateway.starts), 2)
})
