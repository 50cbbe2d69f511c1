import fc from 'fast-check'
import test from 'ava'
import { computeReservedResources } from '../src/capacity-tracker.js'
import { JOB_METRICS } from '../src/job-metrics.js'
import { isFinalState, JOB_STATES, MAXIMUM_RUNS_PER_JOB, type Job, type JobState } from '../src/job.js'
import { drawExtremeJob } from './extreme-jobs.js'
import { FakeJobCell } from './fake-job-cell.js'
import { createJob } from './job-fixtures.js'
import { WorkRecorder } from './work-recorder.js'

const SEED = 20_261_207
const JOBS = 6
const TARGETS = 3
const RUNS = 25
/** An entry takes about 0.1 us on a whole core, so that a turn ends within the lease on a third of one. */
const MAXIMUM_WORK_PER_TURN = 700_000
const STATES: readonly string[] = Object.values(JOB_STATES)

interface Story {
  readonly states: readonly (string | undefined)[]
  readonly finalStates: readonly (string | undefined)[]
  readonly outcomes: readonly string[]
  readonly recorder: WorkRecorder
  readonly violations: readonly unknown[]
  readonly hasTakenOver: boolean
  readonly ordinary: string | undefined
}

/** Describes what the tasks of a job take of the fake targets, and for how long. */
function describeWork (job: Job): Job {
  const steps = job.steps.map((step) => ({
    ...step,
    size: computeReservedResources(step.size, step.usesIdleCapacity),
    estimatedMs: step.isLongRunning ? Number.MAX_SAFE_INTEGER : step.estimatedMs
  }))
  return { ...job, steps }
}

/** Takes jobs through acceptance, placement, a takeover while they are half done, reading and cancelling. */
async function runStory (jobs: readonly Job[]): Promise<Story> {
  const cell = new FakeJobCell(TARGETS)
  const recorder = new WorkRecorder()
  for (let index = 0; index < 3; index++) cell.addInstance(undefined, () => ({ metrics: recorder }))
  await cell.advanceUntil(() => cell.findOwner() !== undefined, 2_000)
  await cell.clock.advanceBy(200)
  const outcomes: string[] = []
  for (const [index, job] of jobs.entries()) {
    const instance = cell.instances[index % cell.instances.length]
    if (instance !== undefined) outcomes.push(await cell.submit(instance, job, describeWork(job)))
  }
  await cell.clock.advanceBy(400)
  cell.findOwner()?.kill()
  const hasTakenOver = await cell.advanceUntil(() => cell.findOwner() !== undefined, 5_000)
  await cell.clock.advanceBy(400)
  const [reader, other] = cell.instances
  if (reader === undefined || other === undefined) throw new Error('no instance is left')
  const readAll = async (): Promise<(string | undefined)[]> => {
    const states: (string | undefined)[] = []
    for (const { id } of jobs) states.push(await cell.readState(reader, id))
    return states
  }
  const states = await readAll()
  for (const { id } of jobs) {
    void other.service.cancelJob(id, cell.clock.readMonotonicMs() + 2_000)
    await cell.clock.advanceBy(10)
  }
  let finalStates = states
  await cell.advanceUntil(async () => {
    finalStates = await readAll()
    return finalStates.every((state) => state !== undefined && isFinalState(state as JobState))
  }, 6_000)
  await cell.submit(other, createJob('ordinary'))
  await cell.advanceUntil(async () => await cell.readState(reader, 'ordinary') === JOB_STATES.completed, 6_000)
  const ordinary = await cell.readState(reader, 'ordinary')
  for (const { service } of [...cell.instances]) service.stop()
  return { states, finalStates, outcomes, recorder, violations: cell.targets.violations, hasTakenOver, ordinary }
}

// Guards against owners that hold, or do in one turn of the event loop, as much as callers write into small bodies (review/11 to 15).
test('jobs of extreme shape are accepted, run, taken over, read and cancelled with bounded work a turn and bounded entries', async (t) => {
  const drawJobs = fc.tuple(...Array.from({ length: JOBS }, (_, index) => drawExtremeJob(`x${index}`)))
  await fc.assert(fc.asyncProperty(drawJobs, async (jobs) => {
    const story = await runStory(jobs)
    t.deepEqual(story.outcomes, jobs.map(() => 'stored'))
    t.true(story.hasTakenOver)
    t.true(story.states.every((state) => state !== undefined && STATES.includes(state)), story.states.join(' '))
    t.true(story.finalStates.every((state) => isFinalState(state as JobState)), story.finalStates.join(' '))
    t.deepEqual(story.violations, [])
    t.is(story.ordinary, JOB_STATES.completed)
    for (const [part, work] of story.recorder.largest) t.true(work <= MAXIMUM_WORK_PER_TURN, `${part}: ${work}`)
    const heldTasks = story.recorder.gauges.get(JOB_METRICS.heldTasks) ?? 0
    t.true(heldTasks <= JOBS * MAXIMUM_RUNS_PER_JOB, String(heldTasks))
  }), { seed: SEED, numRuns: RUNS })
})
