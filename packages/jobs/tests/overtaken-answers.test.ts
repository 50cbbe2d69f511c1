import { SilentEventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import test from 'ava'
import { createOwnerTimings } from '../src/owner-timings.js'
import type { ReportedRun } from '../src/target-gateway.js'
import { TargetSession } from '../src/target-session.js'
import { formatTaskName, RUN_PHASES, type RunOutcome, type TaskRun } from '../src/task-run.js'
import { createRun } from './job-fixtures.js'
import { createReport, ScriptedTargetGateway } from './scripted-target-gateway.js'

const EARLIER = { startedAtMs: 1_000, targetClockMs: 30_000 }
const LATER = { startedAtMs: 40_000, targetClockMs: 500 }

interface Fixture {
  readonly clock: FakeClock
  readonly gateway: ScriptedTargetGateway
  readonly session: TargetSession
  /** Outcomes that the session concluded, by run number. */
  readonly outcomes: Map<number, RunOutcome>
  start: (number: number) => TaskRun
}

/** Creates a session whose target has reported the earlier incarnation. A poll is pending afterwards. */
async function createFixture (): Promise<Fixture> {
  const clock = new FakeClock()
  const gateway = new ScriptedTargetGateway(async () => { await clock.advanceBy(1) })
  const outcomes = new Map<number, RunOutcome>()
  const session = new TargetSession({
    id: 't0',
    address: 't0',
    service: 'ledger',
    failureDomain: 'a',
    isDraining: false,
    capacity: { cpuMillis: 16_000, memoryMb: 64_000, accelerators: 0 },
    labels: []
  }, {
    clock,
    logger: new SilentEventLogger(),
    gateway,
    timings: createOwnerTimings(6_000),
    fencingToken: 1,
    isAuthorized: () => true,
    isStoreHealthy: () => true,
    onRunEnded: (run, { outcome }) => { outcomes.set(run.number, outcome) },
    onRunStarted: () => {},
    onCheckpoint: () => {},
    onUnknownRun: () => undefined,
    onTicketRefused: () => {},
    runWhenStored: (callback) => { callback() },
    onCapacityChanged: () => {},
    onAnswerLost: () => {},
    onFenced: () => {}
  })
  session.start()
  await clock.advanceBy(1)
  await gateway.polls[0]?.answer(createReport(EARLIER))
  await clock.advanceBy(10)
  const start = (number: number): TaskRun => {
    const run = createRun({ task: { jobId: `job${number}`, occurrence: 0, step: 0, index: 0 }, number, phase: RUN_PHASES.reserved })
    session.addRun(run)
    void session.startRun(run, { specification: '', checkpoint: '' })
    return run
  }
  return { clock, gateway, session, outcomes, start }
}

function listAsRunning (run: TaskRun): ReportedRun {
  return { taskName: formatTaskName(run.task), run: run.number, checkpoint: '', percent: 0 }
}

// Guards against two runs of a task at once (issue 33): a restarted target's report from before the start order was carried out,
// read after the answer to the order, was taken as proof that the run was lost in the restart.
test('a run whose start was answered is not ended by an older report of the incarnation in which it runs', async (t) => {
  const { gateway, outcomes, start } = await createFixture()
  const [overtaken] = gateway.polls
  const run = start(1)
  await gateway.starts[0]?.answer({ targetClockMs: LATER.targetClockMs + 5 })
  await overtaken?.answer(createReport(LATER))
  t.deepEqual([...outcomes], [])
  await gateway.polls[0]?.answer(createReport({ ...LATER, targetClockMs: 600, running: [listAsRunning(run)] }))
  t.deepEqual([...outcomes], [])
})
