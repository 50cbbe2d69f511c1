import test, { type ExecutionContext } from 'ava'
import { estimateHeldBytes } from '../src/held-work/estimate-held-bytes.js'
import type { Job } from '../src/job.js'
import { FakeJobCell, type FakeInstance } from './fake-job-cell.js'
import { createJob, createStep } from './job-fixtures.js'

const MAXIMUM_BYTES = 200_000
const INSTANCES = 3
/** No target has this label, so that the jobs wait until they are cancelled. */
const WAITING_STEP = createStep({ requiredLabel: 'none' })
const SMALL_BYTES = estimateHeldBytes(createJob('s00', [WAITING_STEP]))

async function startLimitedCell (): Promise<FakeJobCell> {
  const cell = new FakeJobCell(2)
  for (let index = 0; index < INSTANCES; index++) cell.addInstance(undefined, () => ({ maximumHeldBytes: MAXIMUM_BYTES }))
  await cell.advanceUntil(() => cell.findOwner() !== undefined, 2_000)
  await cell.clock.advanceBy(1_000)
  return cell
}

/** Submits jobs to the instances in turn, all at the same time. Returns those that are stored; the others were refused. */
async function submitTogether (t: ExecutionContext, cell: FakeJobCell, jobs: readonly Job[]): Promise<Job[]> {
  const nowMs = cell.clock.readMonotonicMs()
  const deadlines = { refuseAtMs: nowMs + 1_000, giveUpAtMs: nowMs + 2_000 }
  const outcomes = jobs.map(async (job, index) => {
    cell.jobs.set(job.id, job)
    return await (cell.instances[index % cell.instances.length] as FakeInstance).service.submitJob(job, deadlines)
  })
  await cell.clock.advanceBy(500)
  const settled = await Promise.all(outcomes)
  for (const outcome of settled) t.regex(JSON.stringify(outcome), /^("stored"|{"reason":"heldWork","retryAfterS":[1-5]})$/)
  return jobs.filter((_, index) => settled[index] === 'stored')
}

function sumBytes (jobs: readonly Job[]): number {
  return jobs.reduce((sum, job) => sum + estimateHeldBytes(job), 0)
}

function createSmallJobs (prefix: string, count: number): Job[] {
  return Array.from({ length: count }, (_, index) => createJob(`${prefix}${index}`, [WAITING_STEP]))
}

// Guards against owners that run out of memory one after the other: instances accepted jobs without regard to what is held already.
test('instances that accept small jobs at the same time stay within the limit on all accepted jobs together', async (t) => {
  const cell = await startLimitedCell()
  const stored: Job[] = []
  for (let wave = 0; wave < 6; wave++) {
    stored.push(...await submitTogether(t, cell, createSmallJobs(`s${wave}`, 150)))
    t.true(sumBytes(stored) <= MAXIMUM_BYTES, `${sumBytes(stored)} after wave ${wave}`)
    await cell.clock.advanceBy(2_500)
  }
  t.true(sumBytes(stored) > MAXIMUM_BYTES * 0.8, String(sumBytes(stored)))
  const [reader] = cell.instances
  const refused = createSmallJobs('s5', 150).filter(({ id }) => !stored.some((job) => job.id === id))
  t.true(refused.length > 0)
  for (const { id } of refused.slice(0, 3)) t.is(await cell.readState(reader as FakeInstance, id), undefined)
})

test('room for large jobs is reserved at the owner, and returns when they have ended', async (t) => {
  const cell = await startLimitedCell()
  const steps = Array.from({ length: 100 }, () => WAITING_STEP)
  const jobs = Array.from({ length: 12 }, (_, index) => createJob(`l${index}`, steps))
  const stored = await submitTogether(t, cell, jobs)
  t.true(sumBytes(stored) <= MAXIMUM_BYTES * 0.75 && stored.length >= 4, String(stored.length))
  // Jobs that were stored before are not refused, and small ones still have room.
  t.deepEqual(await submitTogether(t, cell, stored), stored)
  t.is((await submitTogether(t, cell, createSmallJobs('s', 3))).length, 3)
  for (const { id } of stored) void cell.instances[0]?.service.cancelJob(id, cell.clock.readMonotonicMs() + 2_000)
  await cell.clock.advanceBy(1_000)
  t.is((await submitTogether(t, cell, [createJob('next', steps)])).length, 1)
})

test('a new owner counts the jobs that it has taken over', async (t) => {
  const cell = await startLimitedCell()
  const stored: Job[] = []
  for (let wave = 0; wave < 4; wave++) {
    stored.push(...await submitTogether(t, cell, createSmallJobs(`s${wave}`, 150)))
    await cell.clock.advanceBy(2_500)
  }
  cell.findOwner()?.kill()
  t.true(await cell.advanceUntil(() => cell.findOwner() !== undefined, 5_000))
  for (let wave = 4; wave < 8; wave++) {
    stored.push(...await submitTogether(t, cell, createSmallJobs(`s${wave}`, 150)))
    await cell.clock.advanceBy(2_500)
  }
  t.true(sumBytes(stored) <= MAXIMUM_BYTES, String(sumBytes(stored)))
  t.true(sumBytes(stored) > MAXIMUM_BYTES - 20 * SMALL_BYTES, String(sumBytes(stored)))
})
