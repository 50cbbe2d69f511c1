import test from 'ava'
import { createRun } from './job-fixtures.js'
import { createReport } from './scripted-target-gateway.js'
import { createSessionFixture, describeTarget, EARLIER, LATER, listAsDone, type SessionFixture } from './session-fixture.js'

const POLL_PERIOD_MS = 250

/** Creates a session whose target has reported the end of a run, which is stored. A poll is pending afterwards. */
async function createFixtureWithEnd (): Promise<SessionFixture> {
  const fixture = await createSessionFixture()
  const { clock, gateway, start, unstored } = fixture
  const run = start(1)
  await gateway.starts[0]?.answer({ targetClockMs: EARLIER.targetClockMs + 50 })
  await gateway.polls[0]?.answer(createReport({ ...EARLIER, targetClockMs: EARLIER.targetClockMs + 60, ended: [listAsDone(run, 5)] }))
  for (const callback of unstored) callback()
  await clock.advanceBy(POLL_PERIOD_MS)
  return fixture
}

function readAcknowledgedEnd ({ gateway }: SessionFixture): number | undefined {
  return gateway.polls.at(-1)?.order.acknowledgedEnd
}

test('an end is acknowledged until a poll that does so is answered', async (t) => {
  const fixture = await createFixtureWithEnd()
  const { clock, gateway } = fixture
  t.is(readAcknowledgedEnd(fixture), 5)
  await gateway.polls.at(-1)?.answer(createReport({ ...EARLIER, targetClockMs: EARLIER.targetClockMs + 400 }))
  await clock.advanceBy(1)
  t.is(readAcknowledgedEnd(fixture), 0)
})

// Guards against tasks that run again although they have ended done (review/3): a restarted target drops its own ends, which nobody
// has seen, by the numbers of its earlier incarnation.
test('no end is acknowledged after a poll without an answer until the target has reported again', async (t) => {
  const fixture = await createFixtureWithEnd()
  const { clock, gateway } = fixture
  await gateway.polls.at(-1)?.lose()
  await clock.advanceBy(POLL_PERIOD_MS)
  t.is(readAcknowledgedEnd(fixture), 0)
  await gateway.polls.at(-1)?.answer(createReport({ ...EARLIER, targetClockMs: EARLIER.targetClockMs + 800 }))
  await clock.advanceBy(POLL_PERIOD_MS)
  t.is(readAcknowledgedEnd(fixture), 5)
})

// Guards against the same in the first poll after a restart that only the answer to a start order has shown.
test('no end is acknowledged after an order was answered on a clock that was set back', async (t) => {
  const fixture = await createFixtureWithEnd()
  const { clock, gateway, start } = fixture
  start(2)
  await gateway.starts[0]?.answer({ targetClockMs: LATER.targetClockMs })
  t.is(readAcknowledgedEnd(fixture), 0)
  await gateway.polls.at(-1)?.answer(createReport(LATER))
  await gateway.polls.at(-1)?.lose()
  await clock.advanceBy(POLL_PERIOD_MS)
  t.is(readAcknowledgedEnd(fixture), 0)
})

// Guards against ends that a later incarnation drops unseen: a report of the earlier one, read after an order's answer had shown the
// restart, was taken as proof that the target hasn't restarted.
test('an older report does not clear the suspicion of a restart', async (t) => {
  const fixture = await createFixtureWithEnd()
  const { clock, gateway, start } = fixture
  await gateway.polls[0]?.lose()
  await clock.advanceBy(POLL_PERIOD_MS)
  const [older] = gateway.polls
  t.is(older?.order.acknowledgedEnd, 0)
  start(2)
  await gateway.starts[0]?.answer({ targetClockMs: LATER.targetClockMs })
  await older?.answer(createReport({ ...EARLIER, targetClockMs: EARLIER.targetClockMs + 500 }))
  await clock.advanceBy(POLL_PERIOD_MS)
  t.deepEqual(gateway.polls.map(({ order }) => order.acknowledgedEnd), gateway.polls.map(() => 0))
})

// Guards against the same after a poll that got no answer: the answer of a poll sent before it says nothing about a restart since.
test('an older report does not clear the loss of a later poll', async (t) => {
  const fixture = await createFixtureWithEnd()
  const { clock, gateway, session } = fixture
  await gateway.polls[0]?.lose()
  await clock.advanceBy(POLL_PERIOD_MS)
  const [older] = gateway.polls
  session.pollNow()
  await gateway.polls.at(-1)?.lose()
  await older?.answer(createReport({ ...EARLIER, targetClockMs: EARLIER.targetClockMs + 500 }))
  await clock.advanceBy(POLL_PERIOD_MS)
  t.deepEqual(gateway.polls.map(({ order }) => order.acknowledgedEnd), gateway.polls.map(() => 0))
})

// Guards against a target of which no end is noted any more: a start without an answer kept the ends from being acknowledged, and the
// ends that the target didn't report kept the start from being settled.
test('a target with more ends than it reports is acknowledged while a start is unsettled', async (t) => {
  const fixture = await createSessionFixture()
  const { clock, gateway, unstored, start } = fixture
  const ended = Array.from({ length: 500 }, (_, index) => listAsDone(createRun({ number: 100 + index }), index + 1))
  start(1)
  await gateway.starts[0]?.lose()
  let highest = 0
  for (let round = 1; round <= 100; round++) {
    for (const stop of [...gateway.stops]) await stop.answer({ targetClockMs: EARLIER.targetClockMs + round * 300 })
    for (const poll of [...gateway.polls]) {
      highest = Math.max(highest, poll.order.acknowledgedEnd)
      await poll.answer(createReport({ ...EARLIER, targetClockMs: EARLIER.targetClockMs + round * 300, ended, hasMoreEnds: true }))
    }
    for (const callback of unstored.splice(0)) callback()
    await clock.advanceBy(POLL_PERIOD_MS)
  }
  t.is(highest, 500)
})

// Guards against ends that are never noted because the directory lags behind the restarts of a target.
test('ends are acknowledged to a target whose entry is older than its reports', async (t) => {
  const fixture = await createSessionFixture()
  const { clock, gateway, session, start, unstored } = fixture
  session.setDescription(describeTarget({ startedAtMs: EARLIER.startedAtMs }))
  const run = start(1)
  await gateway.starts[0]?.answer({ targetClockMs: LATER.targetClockMs })
  await gateway.polls.at(-1)?.answer(createReport({ ...LATER, targetClockMs: LATER.targetClockMs + 50, ended: [listAsDone(run, 1)] }))
  for (const callback of unstored) callback()
  await gateway.polls[0]?.lose()
  await clock.advanceBy(POLL_PERIOD_MS)
  await gateway.polls.at(-1)?.answer(createReport({ ...LATER, targetClockMs: LATER.targetClockMs + 400, ended: [listAsDone(run, 1)] }))
  await clock.advanceBy(POLL_PERIOD_MS)
  t.is(readAcknowledgedEnd(fixture), 1)
})
