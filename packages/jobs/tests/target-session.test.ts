import { SilentEventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import test from 'ava'
import type { Resources } from '../src/job.js'
import { AccountUsage } from '../src/accounts/account-usage.js'
import { createOwnerTimings } from '../src/owner-timings.js'
import { TargetSession } from '../src/target-session.js'
import { RUN_PHASES, type RunOutcome } from '../src/task-run.js'
import { FakeFencingTokens } from './fake-fencing-tokens.js'
import { FakeTargets } from './fake-targets.js'
import { PacedQueue } from '../src/turns/paced-queue.js'
import { createRun, createTurnMeter } from './job-fixtures.js'

const SIZE: Resources = { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0 }

interface Fixture {
  readonly clock: FakeClock
  readonly session: TargetSession
  readonly targets: FakeTargets
  /** Monotonic time at which the end of each run was noticed, by job. */
  readonly noticedAtMs: Map<string, number>
  readonly outcomes: Map<string, RunOutcome>
  /** Callbacks that wait for the store. */
  readonly unstored: (() => void)[]
  countPolls: () => number
  start: (jobId: string) => void
}

/** Creates a session with a target whose tasks last for the milliseconds in their job's id. The test calls the `unstored` callbacks. */
async function createFixture (reportedEndsMax = Number.POSITIVE_INFINITY): Promise<Fixture> {
  const clock = new FakeClock()
  const targets = new FakeTargets(clock, 1, () => SIZE, (name) => Number(name.split('.')[0]))
  const noticedAtMs = new Map<string, number>()
  const outcomes = new Map<string, RunOutcome>()
  const unstored: (() => void)[] = []
  const gateway = targets.createGateway()
  const fetchReport = gateway.fetchReport.bind(gateway)
  let polls = 0
  gateway.fetchReport = async (endpoint, order) => {
    polls++
    const report = await fetchReport(endpoint, order)
    return report.map((full) => ({
      ...full, ended: full.ended.slice(0, reportedEndsMax), hasMoreEnds: full.ended.length > reportedEndsMax
    }))
  }
  const session = new TargetSession(targets.get('t0').describe(), {
    clock,
    logger: new SilentEventLogger(),
    turns: createTurnMeter(),
    orders: new PacedQueue(clock, 100),
    gateway,
    timings: createOwnerTimings(6_000),
    fencingTokens: new FakeFencingTokens(),
    accountUsage: new AccountUsage(),
    isAuthorized: () => true,
    isStoreHealthy: () => true,
    recordSuccess: () => {},
    recordFailure: () => true,
    onRunEnded: (run, { outcome }) => {
      noticedAtMs.set(run.task.jobId, clock.readMonotonicMs())
      outcomes.set(run.task.jobId, outcome)
    },
    shouldAwaitLateStart: () => false,
    onTargetRestarted: () => {},
    onRunStarted: () => {},
    onCheckpoint: () => {},
    onUnknownRun: () => undefined,
    onUnknownEnd: () => {},
    onTicketRefused: () => {},
    runWhenStored: (callback) => { unstored.push(callback) },
    onCapacityChanged: () => {},
    onAnswerLost: () => {},
    onFenced: () => {}
  })
  session.start()
  await clock.advanceBy(50)
  const start = (jobId: string): void => {
    const run = createRun({ task: { jobId, occurrence: 0, step: 0, index: 0 }, size: SIZE, phase: RUN_PHASES.reserved })
    session.addRun(run)
    void session.startRun(run, { specification: '', checkpoint: '' })
  }
  return { clock, session, targets, noticedAtMs, outcomes, unstored, countPolls: () => polls, start }
}

// Guards against capacity that stays unused while the store is slow, because the end of a run is noticed only once an earlier end
// on the same target is stored.
test('the end of a run is noticed soon while an earlier end is not stored yet', async (t) => {
  const { clock, noticedAtMs, start } = await createFixture()
  const startedAtMs = clock.readMonotonicMs()
  start('200')
  start('500')
  for (let step = 0; step < 100; step++) await clock.advanceBy(10)
  t.true((noticedAtMs.get('200') ?? Infinity) - startedAtMs < 250)
  t.true((noticedAtMs.get('500') ?? Infinity) - startedAtMs < 750)
})

// Guards against polling in a tight loop, since a target answers at once while it has unacknowledged ended runs.
test('a target whose ended runs are not stored yet is polled only a few times per second', async (t) => {
  const { clock, countPolls, start } = await createFixture()
  start('100')
  for (let step = 0; step < 200; step++) await clock.advanceBy(10)
  t.true(countPolls() <= 15, String(countPolls()))
})

// Guards against work that is run again although it is done: a target reports a bounded number of ended runs at a time, so during
// a long outage of the store a run may be neither among the active ones nor among the reported ends.
test('a run is not given up while its end is not among those that the target reports at a time', async (t) => {
  const { clock, outcomes, unstored, start } = await createFixture(2)
  const jobIds = ['100', '110', '120', '130']
  for (const jobId of jobIds) start(jobId)
  for (let step = 0; step < 200; step++) await clock.advanceBy(10)
  t.deepEqual([...outcomes], [['100', 'done'], ['110', 'done']])
  for (const callback of unstored.splice(0)) callback()
  for (let step = 0; step < 100; step++) await clock.advanceBy(10)
  t.deepEqual([...outcomes], jobIds.map((jobId) => [jobId, 'done']))
})

test('an ended run is acknowledged once it is stored', async (t) => {
  const { clock, targets, unstored, start } = await createFixture()
  start('100')
  for (let step = 0; step < 100; step++) await clock.advanceBy(10)
  t.deepEqual([...targets.doneTasks], [])
  for (const callback of unstored.splice(0)) callback()
  for (let step = 0; step < 100; step++) await clock.advanceBy(10)
  t.deepEqual([...targets.doneTasks], ['100.0.0.0'])
})
