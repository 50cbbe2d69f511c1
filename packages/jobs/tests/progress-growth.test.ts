import fc from 'fast-check'
import test from 'ava'
import { formatJobKey, formatProgressKey } from '../src/job-keys.js'
import { JobProgress } from '../src/job-progress.js'
import { encodeJob } from '../src/job-record.js'
import { JobTable } from '../src/job-table.js'
import { MAXIMUM_RUNS_PER_JOB, type Job } from '../src/job.js'
import { decodeProgress, encodeProgress } from '../src/progress-record.js'
import { FakeJobCell, startCell } from './fake-job-cell.js'
import { createJob, createRun, createStep } from './job-fixtures.js'
import { createSupervisor } from './supervisor-fixture.js'

const SEED = 20_261_205
const STEPS = 100
const STEP_MS = 20
/** Occurrences whose record in the plain form is just below the largest value of the store. */
const STORED_OCCURRENCES = 107
const OCCURRENCES = 110

function createScheduledJob (id: string, occurrences: number, firstDueMs: number): Job {
  const step = createStep({ estimatedMs: STEP_MS, size: { cpuMillis: 100, memoryMb: 10, accelerators: 0 } })
  const steps = Array.from({ length: STEPS }, () => step)
  return createJob(id, steps, { schedule: { occurrences, firstDueMs, intervalMs: 400 } })
}

/** Formats a record that lists each complete step, as all builds before the compact form did. */
function formatPlainRecord (occurrences: number): string {
  const steps = Array.from({ length: occurrences * STEPS }, (_, index) => ({
    occurrence: Math.floor(index / STEPS), step: index % STEPS, done: true, runs: [], failures: [], gangFailures: 0, checkpoints: []
  }))
  return JSON.stringify({ version: 1, state: 'running', occurrences, steps })
}

// Guards against a cell that starts nothing any more (LOST): the record of one job with many repetitions grew beyond the largest
// value of the store, and the refused write held back the records of all other jobs.
test('a job with many repetitions completes, and other jobs run beside it', async (t) => {
  const cell = new FakeJobCell(4)
  const job = createScheduledJob('aa', OCCURRENCES, cell.clock.readWallMs() - STORED_OCCURRENCES * 400)
  const plainRecord = formatPlainRecord(STORED_OCCURRENCES)
  t.true(plainRecord.length < 1024 * 1024, String(plainRecord.length))
  await cell.store.commitTransaction({
    comparisons: [],
    mutations: [
      { type: 'put', key: formatJobKey('aa'), value: encodeJob(job) },
      { type: 'put', key: formatProgressKey('aa'), value: plainRecord }
    ]
  }, 'critical')
  cell.jobs.set('aa', job)
  cell.addInstance()
  await cell.advanceUntil(() => cell.findOwner() !== undefined, 2_000)
  const [only] = cell.instances
  if (only === undefined) return t.fail()
  await cell.clock.advanceBy(1_500)
  t.is(await cell.submit(only, createJob('bb')), 'stored')
  t.true(await cell.advanceUntil(async () => await cell.readState(only, 'bb') === 'completed', 4_000))
  t.true(await cell.advanceUntil(async () => await cell.readState(only, 'aa') === 'completed', 8_000))
  t.is(cell.targets.starts.filter(({ taskName }) => taskName.startsWith('aa.')).length, (OCCURRENCES - STORED_OCCURRENCES) * STEPS)
  t.deepEqual(cell.targets.violations, [])
})

test('the length of a progress record does not grow with the occurrences that are completed', (t) => {
  const progress = new JobProgress(createScheduledJob('aa', 5_000, 0), 0)
  let longest = 0
  for (let occurrence = 0; occurrence < 2_000; occurrence++) {
    for (const step of progress.addOccurrence()) step.markAllDone()
    progress.dropCompleted(occurrence)
    longest = Math.max(longest, encodeProgress(progress).length)
  }
  t.true(longest < 128 * 1024, String(longest))
  t.true(encodeProgress(progress).length < 1_024)
  t.is(progress.countOpenTasks(), 0)
})

test('progress restored from a record equals the recorded progress in both forms', (t) => {
  const drawTask = fc.record({ isDone: fc.boolean(), failures: fc.nat(3), checkpoint: fc.constantFrom('', 'c1'), hasRun: fc.boolean() })
  const drawOccurrences = fc.array(fc.array(drawTask, { minLength: 4, maxLength: 4 }), { minLength: 1, maxLength: 6 })
  fc.assert(fc.property(drawOccurrences, fc.constantFrom(1, 600), (occurrences, filler) => {
    const steps = [createStep({ taskCount: 3 }), createStep(), ...Array.from({ length: filler }, () => createStep())]
    const progress = new JobProgress(createJob('aa', steps, { schedule: { occurrences: 10, firstDueMs: 0, intervalMs: 1 } }), 0)
    progress.hasStarted = true
    for (const tasks of occurrences) {
      const added = progress.addOccurrence()
      const occurrence = progress.countAdded() - 1
      const drawn = added.slice(0, 2).flatMap((step) => Array.from({ length: step.step.taskCount }, (_, index) => ({ step, index })))
      drawn.forEach(({ step, index }, position) => {
        const values = tasks[position]
        if (values === undefined) return
        if (values.isDone) step.markDone(index)
        else Object.assign(step.ensureTask(index), { failures: values.failures, checkpoint: values.checkpoint })
        if (values.hasRun) step.addRun(index, createRun({ task: { ...step.key, index }, number: 7 }))
      })
      for (const step of added.slice(2)) step.markAllDone()
      progress.dropCompleted(occurrence)
    }
    const text = encodeProgress(progress)
    const record = decodeProgress(text)
    if (record.err) return false
    const restored = new JobProgress(progress.job, 0)
    restored.hasStarted = true
    restored.restoreOccurrences(record.val.occurrences, record.val.completed)
    for (const { occurrence, step: index, done, runs, failures, checkpoints } of record.val.steps) {
      const step = restored.findStep(occurrence, index)
      if (step === undefined) return false
      for (const [first, last] of done === true ? [[0, step.step.taskCount - 1] as const] : done) step.markRangeDone(first, last)
      for (const [task, number, targetId] of runs) step.addRun(task, createRun({ task: { ...step.key, index: task }, number, targetId }))
      for (const [task, count] of failures) step.ensureTask(task).failures = count
      for (const [task, checkpoint] of checkpoints) step.ensureTask(task).checkpoint = checkpoint
    }
    for (let occurrence = 0; occurrence < restored.countAdded(); occurrence++) restored.dropCompleted(occurrence)
    t.deepEqual(restored.listCompleted(), progress.listCompleted())
    return encodeProgress(restored) === text
  }), { seed: SEED, numRuns: 60 })
  t.pass()
})

// Guards against a record that grows with the tasks that run at the same time.
test('a job with very many small tasks runs no more of them at a time than its record can list', async (t) => {
  const cell = await startCell(1, 4)
  const [only] = cell.instances
  if (only === undefined) return t.fail()
  const size = { cpuMillis: 1, memoryMb: 1, accelerators: 0 }
  const step = createStep({ taskCount: MAXIMUM_RUNS_PER_JOB + 500, estimatedMs: 2_000, size })
  t.is(await cell.submit(only, createJob('aa', [step])), 'stored')
  t.true(await cell.advanceUntil(() => cell.targets.starts.length >= MAXIMUM_RUNS_PER_JOB, 1_500))
  await cell.clock.advanceBy(400)
  t.is(cell.targets.starts.length, MAXIMUM_RUNS_PER_JOB)
  t.true(await cell.advanceUntil(async () => await cell.readState(only, 'aa') === 'completed', 12_000))
  t.deepEqual(cell.targets.violations, [])
})

test('further occurrences of a job wait while it has very many open tasks', (t) => {
  const schedule = { occurrences: 9, firstDueMs: 0, intervalMs: 1 }
  const progress = new JobProgress(createJob('aa', [createStep({ taskCount: 4_000 })], { schedule }), 0)
  let added = 0
  while (progress.hasRoomForOccurrence()) {
    progress.addOccurrence()
    added++
  }
  t.is(added, 2)
  const [first] = progress.findSteps(0)
  first?.markAllDone()
  progress.dropCompleted(0)
  t.true(progress.hasRoomForOccurrence())
})

// Guards against a job that holds back the records of all others for good because the store rejects its own.
test('a job whose record the store rejects fails, and other jobs complete', async (t) => {
  const cell = await startCell(2, 2)
  const owner = cell.findOwner()
  if (owner === undefined) return t.fail()
  owner.store.faults.isRejected = ({ key, value }) => key === formatProgressKey('aa') && !value.includes('failed')
  t.is(await cell.submit(owner, createJob('aa')), 'stored')
  for (const id of ['bb', 'cc']) t.is(await cell.submit(owner, createJob(id)), 'stored')
  for (const id of ['bb', 'cc']) t.true(await cell.advanceUntil(async () => await cell.readState(owner, id) === 'completed', 4_000), id)
  t.true(await cell.advanceUntil(async () => await cell.readState(owner, 'aa') === 'failed', 6_000))
  t.deepEqual(cell.targets.starts.filter(({ taskName }) => taskName.startsWith('aa.')), [])
})

// Guards against an owner that runs out of memory by the occurrences of many small jobs that are due at the same time.
test('the occurrences of many scheduled jobs that are due wait while very many steps are held, but for the first of each job', (t) => {
  const table = new JobTable()
  const supervisor = createSupervisor({ table })
  const schedule = { occurrences: 1e9, firstDueMs: 0, intervalMs: 0 }
  const steps = Array.from({ length: 40 }, () => createStep())
  const jobs = Array.from({ length: 1_500 }, (_, index) => supervisor.adoptJob(createJob(`j${index}`, steps, { schedule }), 0))
  let largestAddition = 0
  for (let pass = 0; pass < 40; pass++) {
    const before = table.measureHoldings().steps
    supervisor.addDueOccurrences()
    largestAddition = Math.max(largestAddition, table.measureHoldings().steps - before)
  }
  t.true(jobs.every((progress) => progress.hasOpenOccurrence()))
  t.is(table.measureHoldings().steps, 1_500 * 40)
  t.true(largestAddition <= 10_040, String(largestAddition))
})
