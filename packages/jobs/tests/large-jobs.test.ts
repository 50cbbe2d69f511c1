import test from 'ava'
import { JobProgress } from '../src/job-progress.js'
import { JobTable } from '../src/job-table.js'
import type { Job } from '../src/job.js'
import { decodeProgress, encodeProgress } from '../src/progress-record.js'
import { FakeJobCell } from './fake-job-cell.js'
import { createSelector, listSelected } from './selector-fixture.js'
import { createJob, createStep } from './job-fixtures.js'
import { createSupervisor } from './supervisor-fixture.js'
import { WorkRecorder } from './work-recorder.js'

const TASKS = 100_000
const STEPS = 1_000

// Guards against an owner that runs out of memory (review/11): it made an object for each task of each accepted job, so that 30 bodies of
// 98 bytes ended each owner in turn.
test('what an owner holds does not grow with the number of tasks that accepted jobs have', (t) => {
  const table = new JobTable()
  const supervisor = createSupervisor({ table })
  for (const id of ['aa', 'bb', 'cc']) supervisor.adoptJob(createJob(id, [createStep({ taskCount: TASKS })]), 0)
  t.deepEqual(table.measureHoldings(), { jobs: 3, steps: 3, tasks: 0 })
  t.deepEqual([...table.listReady()].map(({ step }) => step.countPending()), [TASKS, TASKS, TASKS])
})

// Guards against a new owner that blocks for longer than its lease (review/12): it searched a list of all done tasks once for each task.
test('the progress of a job with very many tasks is read without an entry for each of them', (t) => {
  const progress = new JobProgress(createJob('aa', [createStep({ taskCount: TASKS })]), 0)
  const [step] = progress.addOccurrence()
  step?.markRangeDone(0, TASKS / 2 - 1)
  step?.markDone(TASKS - 1)
  const decoded = decodeProgress(encodeProgress(progress))
  t.deepEqual(decoded.ok ? decoded.val.steps.map(({ done }) => done) : undefined, [[[0, TASKS / 2 - 1], [TASKS - 1, TASKS - 1]]])
})

test('a new owner takes a half done job with very many tasks over with little work, and completes it', async (t) => {
  const cell = new FakeJobCell(2)
  const recorder = new WorkRecorder()
  for (let index = 0; index < 2; index++) cell.addInstance(undefined, () => ({ metrics: recorder }))
  await cell.advanceUntil(() => cell.findOwner() !== undefined, 2_000)
  await cell.clock.advanceBy(100)
  const [first] = cell.instances
  if (first === undefined) return t.fail()
  const size = { cpuMillis: 40, memoryMb: 1, accelerators: 0 }
  t.is(await cell.submit(first, createJob('aa', [createStep({ taskCount: TASKS / 50, size, estimatedMs: 300 })])), 'stored')
  await cell.advanceUntil(() => cell.targets.starts.length > TASKS / 100, 20_000)
  recorder.largest.clear()
  cell.findOwner()?.kill()
  t.true(await cell.advanceUntil(() => cell.findOwner() !== undefined, 5_000))
  const [other] = cell.instances
  if (other === undefined) return t.fail()
  t.true(await cell.advanceUntil(async () => await cell.readState(other, 'aa') === 'completed', 60_000))
  t.deepEqual(cell.targets.violations, [])
  const work = recorder.largest.get('recovery') ?? 0
  t.true(work > 0 && work < TASKS / 100, String(work))
})

/** Creates a job of many steps and counts how often a field that its graph is built from is read. */
function createCountedJob (stepCount: number, after: (index: number) => readonly number[]): { job: Job, readCount: () => number } {
  let count = 0
  const steps = Array.from({ length: stepCount }, (_, index) => {
    const step = createStep({ size: { cpuMillis: 1, memoryMb: 1, accelerators: 0 } })
    return {
      ...step,
      get estimatedMs () { count++; return step.estimatedMs },
      get after () { count++; return after(index) }
    }
  })
  return { job: createJob('aa', steps), readCount: () => count }
}

// Guards against rounds that block the owner for longer than its lease (review/13): for each ready step of a job, the critical path was
// computed anew over all steps of the job.
test('a placement round visits a job with very many ready steps once, not once for each of them', (t) => {
  const { job, readCount } = createCountedJob(STEPS, () => [])
  const table = new JobTable()
  createSupervisor({ table }).adoptJob(job, 0)
  const before = readCount()
  t.true(listSelected(createSelector(), [...table.listReady()]).length > 0)
  t.true(readCount() - before <= STEPS, String(readCount() - before))
})

// Guards against the same when steps end: each end looked at all steps of the job for those that had become ready.
test('the end of a step visits only the steps that wait for it', (t) => {
  const { job, readCount } = createCountedJob(STEPS, (index) => index < STEPS / 2 ? [] : [index - STEPS / 2])
  const table = new JobTable()
  const progress = createSupervisor({ table }).adoptJob(job, 0)
  const before = readCount()
  for (const index of [3, 4, 5]) {
    progress.findStep(0, index)?.markDone(0)
    table.updateReady(progress, 0, 0)
  }
  t.is([...table.listReady()].length, STEPS / 2)
  t.true([...table.listReady()].some(({ step }) => step.key.step === STEPS / 2 + 3))
  t.is(readCount() - before, 0)
})
