import test from 'ava'
import { UNKNOWN_START_MS } from '../src/target-gateway.js'
import { RUN_PHASES } from '../src/task-run.js'
import { createRun } from './job-fixtures.js'
import { createReport } from './scripted-target-gateway.js'
import { createSessionFixture, describeTarget, EARLIER, LATER, type SessionFixture } from './session-fixture.js'

const POLL_RETRY_MS = 250
const MAXIMUM_LEASE_MS = 6_000
const GRANTED_LEASE_MS = 4_500
/** Longer than the bound of the lease that an earlier owner can have extended. */
const OWN_LEASE_AFTER_MS = 7_500

/** Lets the session's first lease bound pass while the target reports. */
async function createSettledFixture (): Promise<SessionFixture> {
  const fixture = await createSessionFixture()
  const { clock, gateway } = fixture
  for (let passedMs = 0; passedMs < OWN_LEASE_AFTER_MS; passedMs += POLL_RETRY_MS) {
    await clock.advanceBy(POLL_RETRY_MS)
    await gateway.polls[0]?.answer(createReport({ ...EARLIER, targetClockMs: EARLIER.targetClockMs + clock.readMonotonicMs() }))
  }
  return fixture
}

/** Lets all polls go without an answer for this long. */
async function keepSilent ({ clock, gateway, session }: SessionFixture, durationMs: number): Promise<void> {
  for (let passedMs = 0; passedMs < durationMs; passedMs += POLL_RETRY_MS) {
    for (const poll of [...gateway.polls]) await poll.lose()
    await clock.advanceBy(POLL_RETRY_MS)
    session.checkLeaseExpiry()
  }
}

// Guards against two runs of a task at once: an order on the clock of the earlier incarnation gives the later one the longest lease.
test('a run on an incarnation that has not reported keeps the longest lease when the target falls silent', async (t) => {
  const fixture = await createSettledFixture()
  const { gateway, outcomes, start } = fixture
  start(1)
  await gateway.starts[0]?.answer({ targetClockMs: LATER.targetClockMs })
  await keepSilent(fixture, MAXIMUM_LEASE_MS - POLL_RETRY_MS)
  t.deepEqual([...outcomes], [])
  await keepSilent(fixture, 4 * POLL_RETRY_MS)
  t.deepEqual([...outcomes], [[1, 'lapsed']])
})

// Guards against the same when the answer to the order is lost.
test('a run without an answer to its start keeps the longest lease when the directory shows a restart', async (t) => {
  const fixture = await createSettledFixture()
  const { gateway, outcomes, session, start } = fixture
  start(1)
  await gateway.starts[0]?.lose()
  session.setDescription(describeTarget({ startedAtMs: LATER.startedAtMs }))
  await keepSilent(fixture, MAXIMUM_LEASE_MS - POLL_RETRY_MS)
  t.deepEqual([...outcomes], [])
  await keepSilent(fixture, 4 * POLL_RETRY_MS)
  t.deepEqual([...outcomes], [[1, 'lapsed']])
})

// Guards against tasks that wait for the longest lease on each target that is lost while it gets a start order.
test('a run without an answer to its start is given up with the leases of the target', async (t) => {
  const fixture = await createSettledFixture()
  const { gateway, outcomes, start } = fixture
  start(1)
  await gateway.starts[0]?.lose()
  await keepSilent(fixture, GRANTED_LEASE_MS + 2 * POLL_RETRY_MS)
  t.deepEqual([...outcomes], [[1, 'lapsed']])
})

// Guards against a start order that was given up and is carried out by a later incarnation, which doesn't know the stop.
test('the stop of an order that was given up is sent again after a restart, before the target gets tasks', async (t) => {
  const { clock, gateway, outcomes, session, start } = await createSessionFixture()
  start(1)
  await gateway.starts[0]?.lose()
  await gateway.polls.at(-1)?.answer(createReport({ ...EARLIER, targetClockMs: EARLIER.targetClockMs + 10 }))
  await gateway.stops[0]?.answer({ targetClockMs: EARLIER.targetClockMs + 20 })
  await gateway.polls.at(-1)?.answer(createReport({ ...EARLIER, targetClockMs: EARLIER.targetClockMs + 30 }))
  t.deepEqual([...outcomes], [[1, 'notStarted']])
  t.true(session.isUsable(clock.readMonotonicMs()))
  await gateway.polls[0]?.lose()
  await clock.advanceBy(POLL_RETRY_MS)
  await gateway.polls[0]?.answer(createReport(LATER))
  t.false(session.isUsable(clock.readMonotonicMs()))
  t.is(gateway.stops.length, 1)
  await gateway.stops[0]?.answer({ targetClockMs: LATER.targetClockMs + 20 })
  t.true(session.isUsable(clock.readMonotonicMs()))
})

// Guards against tasks that are placed by the capacity and labels of an earlier incarnation, which may be of another kind.
test('a target gets no tasks while the directory lists another incarnation than the one that reports', async (t) => {
  const { clock, gateway, session } = await createSessionFixture()
  session.setDescription(describeTarget({ startedAtMs: EARLIER.startedAtMs }))
  t.true(session.isUsable(clock.readMonotonicMs()))
  await clock.advanceBy(POLL_RETRY_MS)
  await gateway.polls[0]?.answer(createReport(LATER))
  t.false(session.isUsable(clock.readMonotonicMs()))
  session.setDescription(describeTarget({ startedAtMs: LATER.startedAtMs }))
  t.true(session.isUsable(clock.readMonotonicMs()))
})

// Guards against a start on an executor of another kind: an entry that the target couldn't renew counted again after a while.
test('a target whose entry is older than its reports gets no tasks, however long', async (t) => {
  const { clock, gateway, session } = await createSessionFixture()
  session.setDescription(describeTarget({ startedAtMs: EARLIER.startedAtMs }))
  await clock.advanceBy(POLL_RETRY_MS)
  await gateway.polls[0]?.answer(createReport(LATER))
  t.false(session.isUsable(clock.readMonotonicMs()))
  await clock.advanceBy(5_000)
  await gateway.polls[0]?.answer(createReport({ ...LATER, targetClockMs: 5_800 }))
  t.false(session.isUsable(clock.readMonotonicMs()))
})

// Guards against a lease that outlasts its bound: a poll on the earlier clock, sent while a restart is suspected, grants the maximum.
test('the lease that a poll grants while a restart is suspected is counted', async (t) => {
  const { clock, gateway, outcomes, session, start } = await createSettledFixture()
  start(1)
  await gateway.starts[0]?.answer({ targetClockMs: LATER.targetClockMs })
  await clock.advanceBy(500)
  session.pollNow()
  const sentAtMs = clock.readMonotonicMs()
  const isExtended = gateway.polls.at(-1)?.order.leaseUntilMs !== undefined
  const grantedUntilMs = isExtended ? sentAtMs + MAXIMUM_LEASE_MS : sentAtMs
  while (outcomes.size === 0) {
    for (const poll of [...gateway.polls]) await poll.lose()
    await clock.advanceBy(10)
    session.checkLeaseExpiry()
  }
  t.true(clock.readMonotonicMs() >= grantedUntilMs, `lapsed at ${clock.readMonotonicMs()}, granted until ${grantedUntilMs}`)
})

// Guards against a start on a target that began to drain while the intent was stored.
test('a placed run is not started on a target that drains meanwhile', async (t) => {
  const { gateway, outcomes, session } = await createSessionFixture()
  const run = createRun({ phase: RUN_PHASES.reserved })
  session.addRun(run)
  session.setDescription(describeTarget({ isDraining: true }))
  await session.startRun(run, { specification: '', checkpoint: '' })
  t.is(gateway.starts.length, 0)
  t.deepEqual([...outcomes], [[1, 'notStarted']])
})

// Guards against a target that is never used because its reports don't say when it started.
test('a target whose reports have no start is used whatever the directory lists', async (t) => {
  const { clock, gateway, session } = await createSessionFixture({ startedAtMs: UNKNOWN_START_MS, targetClockMs: 1_000 })
  session.setDescription(describeTarget({ startedAtMs: LATER.startedAtMs }))
  await clock.advanceBy(POLL_RETRY_MS)
  await gateway.polls[0]?.answer(createReport({ startedAtMs: UNKNOWN_START_MS, targetClockMs: 1_300 }))
  t.true(session.isUsable(clock.readMonotonicMs()))
})

// Guards against a task that runs on an executor of another kind (ROUTE): the target restarted while the intent was stored, and both its
// report and its entry were those of the next incarnation when the order was sent.
test('a run that was placed on an earlier incarnation is not started on the next one', async (t) => {
  const { clock, gateway, outcomes, session } = await createSessionFixture()
  session.setDescription(describeTarget({ startedAtMs: EARLIER.startedAtMs, labels: ['gpu'] }))
  const run = createRun({ phase: RUN_PHASES.reserved, targetStartedAtMs: EARLIER.startedAtMs })
  session.addRun(run)
  session.setDescription(describeTarget({ startedAtMs: LATER.startedAtMs }))
  await clock.advanceBy(POLL_RETRY_MS)
  await gateway.polls[0]?.answer(createReport(LATER))
  t.true(session.isUsable(clock.readMonotonicMs()))
  await session.startRun(run, { specification: '', checkpoint: '' })
  t.is(gateway.starts.length, 0)
  t.deepEqual([...outcomes], [[1, 'notStarted']])
})
