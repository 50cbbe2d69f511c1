import test from 'ava'
import type { JobStep } from '../src/job.js'
import { RUN_PHASES, type TaskRun } from '../src/task-run.js'
import { createJob, createRun } from './job-fixtures.js'
import { createReport } from './scripted-target-gateway.js'
import { createSessionFixture, EARLIER, LATE_STARTS_END_MS, LATER, listAsDone, listAsRunning, type SessionFixture } from './session-fixture.js'
import { createSupervisor } from './supervisor-fixture.js'

const POLL_RETRY_MS = 250
const REPORT_PERIOD_MS = 1_000

/** Creates a session of which one run waits: its start got no answer, its stop was answered and a report doesn't list it. */
async function createFixtureWithDelayedRun (): Promise<SessionFixture & { readonly run: TaskRun }> {
  const fixture = await createSessionFixture(EARLIER, true)
  const { gateway, start } = fixture
  const run = start(1)
  await gateway.starts[0]?.lose()
  await gateway.polls.at(-1)?.answer(createReport({ ...EARLIER, targetClockMs: EARLIER.targetClockMs + 10 }))
  await gateway.stops[0]?.answer({ targetClockMs: EARLIER.targetClockMs + 20 })
  await gateway.polls.at(-1)?.answer(createReport({ ...EARLIER, targetClockMs: EARLIER.targetClockMs + 30 }))
  return { ...fixture, run }
}

/** Lets the target restart and report from its later incarnation. */
async function reportFromLater ({ clock, gateway }: SessionFixture, values: Parameters<typeof createReport>[0] = {}): Promise<void> {
  for (const poll of [...gateway.polls]) await poll.lose()
  await clock.advanceBy(POLL_RETRY_MS)
  await gateway.polls.at(-1)?.answer(createReport({ ...LATER, ...values }))
}

// Guards against a task that runs twice (review/10): a start order without an answer is the first order that reaches the target's next
// incarnation, after the task has been started elsewhere.
test('a run whose start may still be carried out is not given up, and reserves no capacity', async (t) => {
  const { outcomes, run, session } = await createFixtureWithDelayedRun()
  t.deepEqual([...outcomes], [])
  t.is(run.phase, RUN_PHASES.delayed)
  t.is(session.countRuns(), 1)
  t.deepEqual([...session.listRuns()], [])
})

test('a delayed run is given up once its start can no longer be carried out', async (t) => {
  const { clock, gateway, outcomes } = await createFixtureWithDelayedRun()
  while (clock.readMonotonicMs() < LATE_STARTS_END_MS) {
    t.deepEqual([...outcomes], [])
    await clock.advanceBy(REPORT_PERIOD_MS)
    const targetClockMs = EARLIER.targetClockMs + clock.readMonotonicMs()
    for (const poll of [...gateway.polls]) await poll.answer(createReport({ ...EARLIER, targetClockMs }))
  }
  t.deepEqual([...outcomes], [[1, 'notStarted']])
})

test('a delayed run on a target that falls silent is given up no earlier', async (t) => {
  const { clock, gateway, outcomes, session } = await createFixtureWithDelayedRun()
  while (clock.readMonotonicMs() < LATE_STARTS_END_MS) {
    t.deepEqual([...outcomes], [])
    for (const poll of [...gateway.polls]) await poll.lose()
    await clock.advanceBy(POLL_RETRY_MS)
    session.checkLeaseExpiry()
  }
  t.deepEqual([...outcomes], [[1, 'lapsed']])
})

test('a run that a later incarnation has started reserves its capacity again and is stopped there', async (t) => {
  const fixture = await createFixtureWithDelayedRun()
  const { gateway, outcomes, run, session } = fixture
  await reportFromLater(fixture, { running: [listAsRunning(run)] })
  t.is(run.phase, RUN_PHASES.running)
  t.deepEqual([...session.listRuns()], [run])
  t.is(gateway.stops.at(-1)?.order.run, 1)
  t.deepEqual([...outcomes], [])
})

test('the end of a run that a later incarnation has started counts', async (t) => {
  const fixture = await createFixtureWithDelayedRun()
  await reportFromLater(fixture, { ended: [listAsDone(fixture.run, 1)] })
  t.deepEqual([...fixture.outcomes], [[1, 'done']])
})

// Guards against ends that are acknowledged late because a run waits.
test('ends are acknowledged while a run is delayed', async (t) => {
  const { clock, gateway, start, unstored } = await createFixtureWithDelayedRun()
  const other = start(2)
  await gateway.starts[0]?.answer({ targetClockMs: EARLIER.targetClockMs + 50 })
  await gateway.polls[0]?.answer(createReport({ ...EARLIER, targetClockMs: EARLIER.targetClockMs + 60, ended: [listAsDone(other, 1)] }))
  for (const callback of unstored) callback()
  await clock.advanceBy(POLL_RETRY_MS)
  t.true(gateway.polls.some(({ order }) => order.acknowledgedEnd === 1))
})

// Guards against tasks that stay down for seconds, and gangs whose other members end because one is awaited.
test('only a task that ends by itself and runs by itself waits', (t) => {
  const isDelayable = (values: Partial<JobStep>): boolean => {
    const supervisor = createSupervisor()
    const job = createJob('aa')
    supervisor.adoptJob({ ...job, steps: job.steps.map((step) => ({ ...step, ...values })) }, 0)
    return supervisor.isDelayable(createRun())
  }
  t.true(isDelayable({}))
  t.false(isDelayable({ isLongRunning: true }))
  t.false(isDelayable({ isGang: true }))
  t.false(isDelayable({ allowsCopies: true }))
})
