import test from 'ava'
import { createReport } from './scripted-target-gateway.js'
import { createSessionFixture, EARLIER, LATER, listAsRunning } from './session-fixture.js'

const POLL_RETRY_MS = 250
const ORDER_TIMEOUT_MS = 500

// Guards against two runs of a task at once (issue 33): a restarted target's report from before the start order was carried out,
// read after the answer to the order, was taken as proof that the run was lost in the restart.
test('a run whose start was answered is not ended by an older report of the incarnation in which it runs', async (t) => {
  const { gateway, outcomes, start } = await createSessionFixture()
  const [overtaken] = gateway.polls
  const run = start(1)
  await gateway.starts[0]?.answer({ targetClockMs: LATER.targetClockMs + 5 })
  await overtaken?.answer(createReport(LATER))
  t.deepEqual([...outcomes], [])
  await gateway.polls[0]?.answer(createReport({ ...LATER, targetClockMs: 600, running: [listAsRunning(run)] }))
  t.deepEqual([...outcomes], [])
})

// Guards against tasks of the earlier incarnation that are never started again.
test('a run whose start was answered before the poll was sent is over when a later incarnation does not list it', async (t) => {
  const { clock, gateway, outcomes, start } = await createSessionFixture()
  start(1)
  await gateway.starts[0]?.answer({ targetClockMs: EARLIER.targetClockMs + 50 })
  await clock.advanceBy(ORDER_TIMEOUT_MS)
  await gateway.polls[0]?.lose()
  await clock.advanceBy(POLL_RETRY_MS)
  await gateway.polls[0]?.answer(createReport(LATER))
  t.deepEqual([...outcomes], [[1, 'lapsed']])
})

// Guards against two runs of a task at once: a report from before a late start order, read after the answer to the stop order, was
// taken as proof that the run never started.
test('a run without an answer to its start is not ended by a report from before the answer to its stop', async (t) => {
  const { gateway, outcomes, session, start } = await createSessionFixture()
  const run = start(1)
  await gateway.starts[0]?.lose()
  const first = gateway.polls.at(-1)
  session.pollNow()
  const second = gateway.polls.at(-1)
  await first?.answer(createReport(EARLIER))
  t.is(gateway.stops.length, 1)
  await gateway.stops[0]?.answer({ targetClockMs: EARLIER.targetClockMs + 700 })
  await second?.answer(createReport({ ...EARLIER, targetClockMs: EARLIER.targetClockMs + 400 }))
  t.deepEqual([...outcomes], [])
  const report = createReport({ ...EARLIER, targetClockMs: EARLIER.targetClockMs + 800, running: [listAsRunning(run)] })
  await gateway.polls.at(-1)?.answer(report)
  t.deepEqual([...outcomes], [])
})

// Guards against two runs of a task at once: of two reports that were read in the other order, the older one, in which a run that
// started late is missing, was taken as proof that the run is over.
test('a run that a report lists is not ended by an older report', async (t) => {
  const { clock, gateway, outcomes, session, start } = await createSessionFixture()
  const run = start(1)
  await gateway.starts[0]?.lose()
  await clock.advanceBy(600)
  session.pollNow()
  const older = gateway.polls.at(-1)
  session.pollNow()
  const newer = gateway.polls.at(-1)
  await newer?.answer(createReport({ ...EARLIER, targetClockMs: EARLIER.targetClockMs + 700, running: [listAsRunning(run)] }))
  await older?.answer(createReport({ ...EARLIER, targetClockMs: EARLIER.targetClockMs + 690 }))
  t.deepEqual([...outcomes], [])
})

// Guards against a target that is never used again, and whose tasks are never started elsewhere, because its wall clock was set back.
test('a restarted target is recognized although it says that it started earlier than before', async (t) => {
  const { clock, gateway, outcomes, start } = await createSessionFixture()
  start(1)
  await gateway.starts[0]?.answer({ targetClockMs: EARLIER.targetClockMs + 50 })
  await clock.advanceBy(ORDER_TIMEOUT_MS)
  await gateway.polls[0]?.lose()
  await clock.advanceBy(POLL_RETRY_MS)
  await gateway.polls[0]?.answer(createReport({ ...LATER, startedAtMs: EARLIER.startedAtMs - 500 }))
  t.deepEqual([...outcomes], [[1, 'lapsed']])
})

// Guards against a lease on the clock of the earlier incarnation, which lasts on the later one for as long as a target grants at all.
test('an answer of the earlier incarnation does not set the clock of the later one', async (t) => {
  const { clock, gateway, start } = await createSessionFixture()
  start(1)
  await gateway.polls[0]?.lose()
  await clock.advanceBy(POLL_RETRY_MS)
  await gateway.polls[0]?.answer(createReport(LATER))
  await gateway.starts[0]?.answer({ targetClockMs: EARLIER.targetClockMs + 50 })
  start(2)
  t.true((gateway.starts.at(-1)?.order.validUntilMs ?? Infinity) < EARLIER.targetClockMs)
})

// Guards against a stop that only the earlier incarnation knows: a late start order could still be carried out by the later one.
test('a stop that the earlier incarnation answered is sent again to the later one', async (t) => {
  const { gateway, outcomes, start } = await createSessionFixture()
  start(1)
  await gateway.starts[0]?.lose()
  await gateway.polls.at(-1)?.answer(createReport({ ...EARLIER, targetClockMs: EARLIER.targetClockMs + 10 }))
  await gateway.stops[0]?.answer({ targetClockMs: EARLIER.targetClockMs + 20 })
  await gateway.polls.at(-1)?.answer(createReport(LATER))
  t.deepEqual([...outcomes], [])
  t.is(gateway.stops.length, 1)
})

// Guards against a run that keeps its capacity for good: its stop was answered around a restart, before its start order was given up.
test('a run whose stop was answered by the earlier incarnation is settled by the later one', async (t) => {
  const { clock, gateway, outcomes, session, start } = await createSessionFixture()
  const run = start(1)
  session.requestStop(run)
  await gateway.polls[0]?.lose()
  await clock.advanceBy(POLL_RETRY_MS)
  await gateway.polls[0]?.answer(createReport(LATER))
  await gateway.stops[0]?.answer({ targetClockMs: EARLIER.targetClockMs + 50 })
  await gateway.starts[0]?.lose()
  await gateway.stops[0]?.answer({ targetClockMs: LATER.targetClockMs + 50 })
  await gateway.polls.at(-1)?.answer(createReport({ ...LATER, targetClockMs: LATER.targetClockMs + 60 }))
  t.deepEqual([...outcomes], [[1, 'notStarted']])
})
