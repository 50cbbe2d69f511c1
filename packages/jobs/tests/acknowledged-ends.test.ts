import test from 'ava'
import { createReport } from './scripted-target-gateway.js'
import { createSessionFixture, EARLIER, LATER, listAsDone, type SessionFixture } from './session-fixture.js'

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
