import { SilentEventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import { InMemoryStore } from '@hibiscusledge/store/in-memory-store.js'
import test from 'ava'
import { AccountShares } from '../src/accounts/account-shares.js'
import { AccountTable } from '../src/accounts/account-table.js'
import { formatJobKey, formatProgressKey } from '../src/job-keys.js'
import { JobProgress } from '../src/job-progress.js'
import { encodeJob } from '../src/job-record.js'
import { JobTable } from '../src/job-table.js'
import type { Job } from '../src/job.js'
import { encodeProgress } from '../src/progress-record.js'
import { recoverJobs } from '../src/recover-jobs.js'
import type { TaskRun } from '../src/task-run.js'
import { createAccount, createJob, createRun, createStep, createTurnMeter } from './job-fixtures.js'
import { createSupervisor } from './supervisor-fixture.js'

const BACKLOG_JOBS = 400

interface Recovered {
  readonly table: JobTable
  readonly adopted: readonly TaskRun[]
  readonly stopped: readonly TaskRun[]
}

/** Recovers one job from the records that an earlier owner has stored. */
async function recoverJob (job: Job, progressText: string): Promise<Recovered> {
  const clock = new FakeClock()
  const store = new InMemoryStore(clock)
  const logger = new SilentEventLogger()
  const table = new JobTable()
  const adopted: TaskRun[] = []
  const stopped: TaskRun[] = []
  await store.commitTransaction({
    comparisons: [],
    mutations: [
      { type: 'put', key: formatJobKey(job.id), value: encodeJob(job) },
      { type: 'put', key: formatProgressKey(job.id), value: progressText }
    ]
  }, 'critical')
  const recovery = recoverJobs({
    clock,
    logger,
    turns: createTurnMeter({ clock }),
    store,
    table,
    supervisor: createSupervisor({ clock, table, requestStop: (run) => { stopped.push(run) } }),
    adoptRun: (run) => { adopted.push(run) },
    requestStop: (run) => { stopped.push(run) }
  })
  await clock.advanceBy(1)
  await recovery
  return { table, adopted, stopped }
}

function createGangRun (index: number, step: number): TaskRun {
  return createRun({ task: { jobId: 'aa', occurrence: 0, step, index }, number: 1_001 })
}

function listPendingNames (table: JobTable): string[] {
  return [...table.listReady()].flatMap(({ step }) => step.listPending().map((index) => `${step.key.step}.${index}`))
}

// Guards against running the earlier steps again: the first task that is done completes a gang while its other runs are still recorded.
test('a completed job whose gang members have not all ended runs nothing again after a takeover', async (t) => {
  const job = createJob('aa', [createStep({ taskCount: 3 }), createStep({ taskCount: 2, isGang: true, after: [0] })])
  const progress = new JobProgress(job, 0)
  const [first, gang] = progress.addOccurrence()
  if (first === undefined || gang === undefined) return t.fail()
  first.markAllDone()
  gang.markDone(0)
  gang.addRun(1, createGangRun(1, 1))
  t.is(progress.readState(), 'completed')
  const { table, adopted } = await recoverJob(job, encodeProgress(progress))
  t.deepEqual(listPendingNames(table), [])
  t.is(table.find('aa')?.readState(), 'completed')
  t.is(adopted.length, 1)
})

// Guards against tasks that keep running after a cancellation because the owner ended before it stopped them.
test('the runs of a cancelled or failed job are stopped by the next owner', async (t) => {
  for (const outcome of ['isCancelled', 'hasFailed'] as const) {
    const job = createJob('aa', [createStep({ taskCount: 2 })])
    const progress = new JobProgress(job, 0)
    const [step] = progress.addOccurrence()
    if (step === undefined) return t.fail()
    step.addRun(0, createGangRun(0, 0))
    progress[outcome] = true
    const { table, stopped } = await recoverJob(job, encodeProgress(progress))
    t.deepEqual(listPendingNames(table), [], outcome)
    t.deepEqual(stopped.map((run) => run.number), [1_001], outcome)
  }
})

// Guards against two runs of a task at once after a takeover: of several recorded runs of a task, only the last one was known.
test('a stray run of a task is stopped by the next owner, and the task waits for its end', async (t) => {
  const job = createJob('aa')
  const progress = new JobProgress(job, 0)
  const [step] = progress.addOccurrence()
  if (step === undefined) return t.fail()
  step.addRun(0, createRun({ number: 2 }))
  step.addRun(0, createRun({ number: 1 }))
  const { table, adopted, stopped } = await recoverJob(job, encodeProgress(progress))
  t.deepEqual(adopted.map((run) => run.number), [1, 2])
  t.deepEqual(stopped.map((run) => run.number), [1])
  const recovered = table.find('aa')?.findStep(0, 0)?.findTask(0)
  t.is(recovered?.run?.number, 2)
  t.is(recovered?.strayRuns?.length, 1)
})

// Guards against running a job from the beginning because its progress record is malformed.
test('a job whose progress record is malformed is not run again', async (t) => {
  const { table } = await recoverJob(createJob('aa', [createStep({ taskCount: 2 })]), 'not JSON')
  t.deepEqual(listPendingNames(table), [])
})

// Guards against owners that one after the other lose their lease while they recover a long backlog.
test('other tasks of the event loop run while a backlog of jobs is recovered', async (t) => {
  const clock = new FakeClock()
  const store = new InMemoryStore(clock)
  for (let index = 0; index < BACKLOG_JOBS; index++) {
    const job = createJob(`j${index}`)
    await store.commitTransaction({ comparisons: [], mutations: [{ type: 'put', key: formatJobKey(job.id), value: encodeJob(job) }] }, 'critical')
  }
  const table = new JobTable()
  let turns = 0
  const takeTurn = (): void => {
    turns++
    if (table.countActive() < BACKLOG_JOBS) clock.startTimer(0, takeTurn)
  }
  takeTurn()
  const recovery = recoverJobs({
    clock,
    logger: new SilentEventLogger(),
    turns: createTurnMeter({ clock }),
    store,
    table,
    supervisor: createSupervisor({ clock, table }),
    adoptRun: () => {},
    requestStop: () => {}
  })
  await clock.advanceBy(1)
  await recovery
  t.is(table.countActive(), BACKLOG_JOBS)
  t.true(turns >= 10, String(turns))
})

// Guards against a takeover that delays another job of an account than the one that came last.
test('a new owner classifies the jobs in the order of acceptance, whatever their ids', async (t) => {
  const clock = new FakeClock()
  const store = new InMemoryStore(clock)
  const wallMs = clock.readWallMs()
  for (const [id, ageMs] of [['aa', 100], ['bb', 300], ['cc', 200]] as const) {
    const job = createJob(id, undefined, { account: 'north', acceptedAtMs: wallMs - ageMs })
    await store.commitTransaction({ comparisons: [], mutations: [{ type: 'put', key: formatJobKey(id), value: encodeJob(job) }] }, 'critical')
  }
  const table = new JobTable()
  const shares = new AccountShares(() => new AccountTable([createAccount({ weight: 1 })]))
  const recovery = recoverJobs({
    clock,
    logger: new SilentEventLogger(),
    turns: createTurnMeter({ clock }),
    store,
    table,
    supervisor: createSupervisor({ clock, table, shares }),
    adoptRun: () => {},
    requestStop: () => {}
  })
  await clock.advanceBy(1)
  await recovery
  const beyond = [...table.listActive()].filter((progress) => shares.isBeyondShare(progress, clock.readMonotonicMs()))
  t.deepEqual(beyond.map(({ job }) => job.id), ['aa'])
})
