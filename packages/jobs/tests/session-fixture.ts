import { SilentEventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import { AccountUsage } from '../src/accounts/account-usage.js'
import { createOwnerTimings } from '../src/owner-timings.js'
import type { ReportedEnd, ReportedRun, TargetDescription, TargetReport } from '../src/target-gateway.js'
import { TargetSession } from '../src/target-session.js'
import { formatTaskName, RUN_PHASES, type RunOutcome, type TaskRun } from '../src/task-run.js'
import { FakeFencingTokens } from './fake-fencing-tokens.js'
import { PacedQueue } from '../src/turns/paced-queue.js'
import { createRun, createTurnMeter } from './job-fixtures.js'
import { createReport, ScriptedTargetGateway } from './scripted-target-gateway.js'

/** Two incarnations of a target, as their reports describe them. */
export const EARLIER = { startedAtMs: 1_000, targetClockMs: 30_000 }
export const LATER = { startedAtMs: 40_000, targetClockMs: 500 }

export function describeTarget (values: Partial<TargetDescription> = {}): TargetDescription {
  return {
    id: 't0',
    address: 't0',
    service: 'ledger',
    failureDomain: 'a',
    isDraining: false,
    capacity: { cpuMillis: 16_000, memoryMb: 64_000, accelerators: 0 },
    labels: [],
    ...values
  }
}

/** Time at which a start order without an answer can't be carried out any more, if tasks wait for that. */
export const LATE_STARTS_END_MS = 10_000

/** A session of which the test writes every answer of the target. */
export interface SessionFixture {
  readonly clock: FakeClock
  readonly gateway: ScriptedTargetGateway
  readonly session: TargetSession
  /** Outcomes that the session concluded, by run number. */
  readonly outcomes: Map<number, RunOutcome>
  /** Issues the fencing tokens of the session. */
  readonly tokens: FakeFencingTokens
  /** Callbacks that wait for the store. */
  readonly unstored: (() => void)[]
  /** Runs that the target listed and the session didn't know. */
  readonly unknownRuns: ReportedRun[]
  start: (number: number) => TaskRun
  /** Whether the session has concluded that there is a newer owner. */
  isFenced: () => boolean
}

/**
 * Creates a session whose target has sent its first report, by default of the earlier incarnation. A poll is pending afterwards.
 * `awaitsLateStarts` tells whether tasks wait while their start orders may still be carried out.
 */
export async function createSessionFixture (
  firstReport: Partial<TargetReport> = EARLIER, awaitsLateStarts = false
): Promise<SessionFixture> {
  const clock = new FakeClock()
  const gateway = new ScriptedTargetGateway(async () => { await clock.advanceBy(1) })
  const outcomes = new Map<number, RunOutcome>()
  const unstored: (() => void)[] = []
  const unknownRuns: ReportedRun[] = []
  const tokens = new FakeFencingTokens()
  let isFenced = false
  const session = new TargetSession(describeTarget(), {
    clock,
    logger: new SilentEventLogger(),
    turns: createTurnMeter(),
    orders: new PacedQueue(clock, 100),
    gateway,
    timings: createOwnerTimings(6_000),
    fencingTokens: tokens,
    accountUsage: new AccountUsage(),
    isAuthorized: () => true,
    isStoreHealthy: () => true,
    recordSuccess: () => {},
    recordFailure: () => true,
    onRunEnded: (run, { outcome }) => { outcomes.set(run.number, outcome) },
    shouldAwaitLateStart: () => awaitsLateStarts && clock.readMonotonicMs() < LATE_STARTS_END_MS,
    onTargetRestarted: () => {},
    onRunStarted: () => {},
    onCheckpoint: () => {},
    onUnknownRun: (reported) => {
      unknownRuns.push(reported)
      return undefined
    },
    onUnknownEnd: ({ run, outcome }) => { outcomes.set(run, outcome) },
    onTicketRefused: () => {},
    runWhenStored: (callback) => { unstored.push(callback) },
    onCapacityChanged: () => {},
    onAnswerLost: () => {},
    onFenced: () => { isFenced = true }
  })
  session.start()
  await clock.advanceBy(1)
  await gateway.polls[0]?.answer(createReport(firstReport))
  await clock.advanceBy(10)
  const start = (number: number): TaskRun => {
    const run = createRun({ task: { jobId: `job${number}`, occurrence: 0, step: 0, index: 0 }, number, phase: RUN_PHASES.reserved })
    session.addRun(run)
    void session.startRun(run, { specification: '', checkpoint: '' })
    return run
  }
  return { clock, gateway, session, outcomes, tokens, unstored, unknownRuns, start, isFenced: () => isFenced }
}

export function listAsRunning (run: TaskRun): ReportedRun {
  return { taskName: formatTaskName(run.task), run: run.number, checkpoint: '', percent: 0 }
}

export function listAsDone (run: TaskRun, number: number): ReportedEnd {
  return { number, taskName: formatTaskName(run.task), run: run.number, outcome: 'done', checkpoint: '' }
}
