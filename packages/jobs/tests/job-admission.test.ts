import test from 'ava'
import { SilentEventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { SilentMetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import { InMemoryStore } from '@hibiscusledge/store/in-memory-store.js'
import { AccountTable } from '../src/accounts/account-table.js'
import { KnownAccounts } from '../src/accounts/known-accounts.js'
import { QuotaBudget } from '../src/accounts/quota-budget.js'
import { decideAdmission } from '../src/admission/admission-decision.js'
import { DrainMeter } from '../src/admission/drain-meter.js'
import { JobAdmission } from '../src/admission/job-admission.js'
import { HeldWorkLimiter } from '../src/held-work/held-work-limiter.js'
import { LoadReceiver } from '../src/admission/load-receiver.js'
import { buildServiceLoads, type LoadReport } from '../src/admission/load-report.js'
import { PACKING_FACTOR } from '../src/admission/work-amount.js'
import { formatFinishedKey, formatJobKey } from '../src/job-keys.js'
import { JobTable } from '../src/job-table.js'
import type { Job } from '../src/job.js'
import { RoomChecker } from '../src/room-checker.js'
import type { TargetView } from '../src/target-view.js'
import { createJob, createQueuePolicy, createRun, createStep, NO_SHARES } from './job-fixtures.js'

const ACCOUNTS = new AccountTable([{ name: 'a', weight: 1, quota: { cpuMillis: 0, memoryMb: 0, accelerators: 0 }, keys: [] }])

/** Creates a report of a service that finishes one core of work at a time. `aheadMs`: time that the work ahead takes, by priority. */
function createReport (aheadMs: readonly number[], values: Partial<LoadReport> = {}): LoadReport {
  const priorities = aheadMs.map((durationMs, priority) => ({ priority, ahead: durationMs * 1_000 }))
  return { term: 1, sequence: 1, services: [{ service: 'ledger', resource: 'cpuMillis', drainRate: 1_000, priorities }], ...values }
}

/** Creates a job with a task of a second. Its objective is 3 s, so that it is worth nothing after 9 s. */
function createNewJob (priority = 0, values: Partial<Job> = {}): Job {
  return createJob('aa', [createStep()], { terms: createQueuePolicy({ priority, stretch: 2, targetDurationMs: 1_000 }), ...values })
}

function readRetry (aheadMs: readonly number[], priority = 0, fraction = 0): number | undefined {
  return decideAdmission(createNewJob(priority), createReport(aheadMs), fraction)?.retryAfterS
}

// Load pattern: a burst that would take far longer to be served than the jobs have any value.
test('a job is refused only if it would complete after three times its objective, also if the work ahead takes half as long', (t) => {
  t.is(readRetry([0]), undefined)
  t.is(readRetry([16_000]), undefined)
  t.is(readRetry([16_500]), 9)
  t.is(readRetry([23_200]), 16)
})

test('without a report, or with none on its service or priority, a job is accepted', (t) => {
  t.is(decideAdmission(createNewJob(), undefined, 0), undefined)
  t.is(decideAdmission(createNewJob(), { ...createReport([50_000]), services: [] }, 0), undefined)
  t.is(decideAdmission(createNewJob(0), createReport([]), 0), undefined)
})

// Load pattern: a burst of the lowest priority beside usual load of the others.
test('a job of a higher priority is not refused for the work of lower ones, and may return sooner', (t) => {
  t.is(readRetry([0, 1_000, 60_000], 0), undefined)
  t.is(readRetry([0, 1_000, 60_000], 2), 24)
  const [first = 0, second = 0, third = 0] = [0, 1, 2].map((priority) => readRetry([17_000, 20_000, 28_000], priority))
  t.true(first < second && second < third, `${first} ${second} ${third}`)
})

// Guards against large jobs that are refused again and again because some work always waits.
test('a job is not refused because it is large itself', (t) => {
  const decide = (taskCount: number, aheadMs: number): number | undefined =>
    decideAdmission(createNewJob(0, { steps: [createStep({ taskCount })] }), createReport([aheadMs]), 0)?.retryAfterS
  t.is(decide(100, 2_000), undefined)
  t.is(decide(8, 1_500), undefined)
  t.is(decide(8, 3_000), 2)
  t.is(decide(100, 20_000), 12)
})

test('scheduled jobs and those that run until they are cancelled are accepted', (t) => {
  const schedule = { occurrences: 2, firstDueMs: 0, intervalMs: 1_000 }
  t.is(decideAdmission(createNewJob(0, { schedule }), createReport([60_000]), 0), undefined)
  t.is(decideAdmission(createNewJob(0, { steps: [createStep({ isLongRunning: true })] }), createReport([60_000]), 0), undefined)
})

// Guards against callers who were refused together and return together.
test('the time to return is a whole number of seconds from 1 to 30 and spread by up to a quarter', (t) => {
  const random = new SeededRandomSource(1)
  for (const aheadMs of [16_001, 18_000, 20_000, 40_000, 1e9]) {
    const draws = Array.from({ length: 500 }, () => readRetry([aheadMs], 0, random.drawFraction()) ?? 0)
    const [lowest, highest] = [Math.min(...draws), Math.max(...draws)]
    t.true(draws.every((value) => Number.isInteger(value)) && lowest >= 1 && highest <= 30, `${lowest} ${highest}`)
    t.is(lowest, Math.min(24, Math.ceil((aheadMs - 8_000) / 1_000)))
    t.is(highest, lowest + Math.ceil(lowest / 4))
  }
})

test('a report is used for 1,500 ms, and not when a later one or one of a later term has come', (t) => {
  const loads = new LoadReceiver()
  t.is(loads.readFresh(0), undefined)
  loads.receive(createReport([1], { term: 3, sequence: 5 }), 1_000)
  t.is(loads.readFresh(2_500)?.sequence, 5)
  t.is(loads.readFresh(2_501), undefined)
  // Reports that overtook each other, and those of an owner that has lost its lease, don't make the last one appear fresh.
  loads.receive(createReport([1], { term: 3, sequence: 4 }), 2_000)
  loads.receive(createReport([1], { term: 2, sequence: 9 }), 2_000)
  loads.receive({ term: 4 }, 2_000)
  t.is(loads.readFresh(2_501), undefined)
  loads.receive(createReport([1], { term: 4, sequence: 1 }), 2_600)
  t.is(loads.readFresh(2_700)?.term, 4)
  loads.expire()
  t.is(loads.readFresh(2_700), undefined)
})

interface AdmissionFixture {
  readonly clock: FakeClock
  readonly store: InMemoryStore
  readonly admission: JobAdmission
  readonly writing: Set<string>
}

/** Creates the admission of an instance that has just received a report of heavy overload. */
function createAdmission (accounts = ACCOUNTS): AdmissionFixture {
  const clock = new FakeClock()
  const store = new InMemoryStore(clock)
  const loads = new LoadReceiver()
  loads.receive(createReport([60_000, 60_000]), clock.readMonotonicMs())
  const writing = new Set<string>()
  const admission = new JobAdmission({
    clock,
    random: new SeededRandomSource(1),
    logger: new SilentEventLogger(),
    metrics: new SilentMetricSink(),
    store,
    loads,
    heldWork: new HeldWorkLimiter({ clock, maximumBytes: 1_000_000, reserveAtOwner: async () => true }),
    readAccounts: () => accounts,
    isWriting: (id) => writing.has(id)
  })
  return { clock, store, admission, writing }
}

test('a job is refused in overload while the report is fresh, and only where accounts are configured', async (t) => {
  const { admission, clock } = createAdmission()
  t.truthy(await admission.findRefusal(createNewJob()))
  await clock.advanceBy(1_501)
  t.is(await admission.findRefusal(createNewJob()), undefined)
  t.is(await createAdmission(new AccountTable()).admission.findRefusal(createNewJob()), undefined)
})

// Guards against a caller that repeats a request after a lost answer and is told that its stored job will never run.
test('a job that is stored, has finished or is being written is not refused, nor one that the store can not tell', async (t) => {
  for (const key of [formatJobKey('aa'), formatFinishedKey('aa')]) {
    const { admission, store } = createAdmission()
    await store.commitTransaction({ comparisons: [], mutations: [{ type: 'put', key, value: '' }] }, 'critical')
    t.is(await admission.findRefusal(createNewJob()), undefined)
  }
  const { admission, store, writing } = createAdmission()
  writing.add('aa')
  t.is(await admission.findRefusal(createNewJob()), undefined)
  writing.clear()
  store.setDown(true)
  t.is(await admission.findRefusal(createNewJob()), undefined)
})

const TARGET: TargetView = {
  id: 't0',
  service: 'ledger',
  rack: undefined,
  labels: [],
  capacity: { cpuMillis: 16_000, memoryMb: 64_000, accelerators: 0 },
  free: { cpuMillis: 16_000, memoryMb: 64_000, accelerators: 0 },
  runs: []
}

test('the report counts the work ahead by priority and service', (t) => {
  const table = new JobTable()
  for (const priority of [0, 1, 2]) {
    const progress = table.add(createJob(`j${priority}`, [createStep({ taskCount: 4 })], { terms: createQueuePolicy({ priority }) }), 0)
    progress.addOccurrence()
    table.updateReady(progress, 0, 0)
  }
  const budget = new QuotaBudget(new KnownAccounts(() => ACCOUNTS))
  const context = { nowMs: 0, checker: new RoomChecker([TARGET]), shares: NO_SHARES, budget, isPermittedNowhere: () => false }
  const [load] = buildServiceLoads(table.listReady(), context, [TARGET, { ...TARGET, service: 'other' }], new DrainMeter())
  t.is(load?.drainRate, 16_000 * PACKING_FACTOR)
  t.deepEqual(load?.priorities, [0, 1, 2].map((priority) => ({ priority, ahead: (priority + 1) * 4_000_000 })))
  // Work beyond the accounts' shares comes after a new job.
  t.deepEqual(buildServiceLoads(table.listReady(), { ...context, shares: { isBeyondShare: () => true } }, [TARGET], new DrainMeter()), [])
})

// Guards against refusals for a job that always fails and comes after all others.
test('a job later than three objectives is not ahead of a new one, whether it keeps failing or not', (t) => {
  const table = new JobTable()
  for (const id of ['late', 'failing']) {
    const progress = table.add(createJob(id), 0)
    progress.addOccurrence()
    table.updateReady(progress, 0, 0)
    if (id === 'failing') progress.demotedUntilMs = Number.POSITIVE_INFINITY
  }
  const budget = new QuotaBudget(new KnownAccounts(() => ACCOUNTS))
  const context = { nowMs: 60_000, checker: new RoomChecker([TARGET]), shares: NO_SHARES, budget, isPermittedNowhere: () => false }
  t.deepEqual(buildServiceLoads(table.listReady(), context, [TARGET], new DrainMeter()), [])
})

// Load patterns: a burst after a quiet time, before its first tasks have ended; targets slower than the estimates; failing tasks.
test('the rate of finished work follows from the ended runs, and not from how many there were lately', (t) => {
  const step = createStep({ estimatedMs: 1_000 })
  const { size } = step
  const drain = new DrainMeter()
  const readShare = (): number => drain.estimateRate('ledger', TARGET.capacity, 'cpuMillis') / TARGET.capacity.cpuMillis
  t.is(readShare(), 1)
  for (let index = 0; index < 4; index++) drain.recordEnd('ledger', step, createRun({ size, sentAtMs: 0 }), 'done', 2_000)
  t.is(readShare(), 0.5)
  drain.recordEnd('ledger', step, createRun({ size, sentAtMs: 599_000 }), 'done', 600_000)
  t.is(readShare().toFixed(3), '1.000')
  drain.recordEnd('ledger', step, createRun({ size, sentAtMs: 599_000 }), 'failed', 600_000)
  t.is(readShare().toFixed(3), '0.500')
  drain.recordEnd('ledger', step, createRun({ size, sentAtMs: Number.NEGATIVE_INFINITY }), 'done', 600_000)
  t.is(readShare().toFixed(3), '0.500')
})
