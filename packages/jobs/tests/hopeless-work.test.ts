import { Err } from '@hibiscusledge/runtime/result.js'
import test from 'ava'
import type { AdviceError, AdviceGateway } from '../src/advice-gateway.js'
import type { Job, JobStep, Resources } from '../src/job.js'
import { createAdviceGateway, FakeJobCell } from './fake-job-cell.js'
import { createJob, createQueuePolicy, createStep } from './job-fixtures.js'

const TARGETS = 4
/** Time after which a job is far later than its objective, so that the oldest of such jobs comes first. */
const LATE_MS = 6_000
const ADVICE = { decisionMs: 20, perTargetMs: 1, validityMs: 2_000 }
/** Failure of the stand-in for the policy service on the steps of the advised queue. */
const ADVICE_ERROR: AdviceError = { code: 'unavailable', message: 'the policy service does not answer' }
const NO_ADVICE = Err(ADVICE_ERROR)

function createSize (cpuMillis: number, memoryMb = 100): Resources {
  return { cpuMillis, memoryMb, accelerators: 0 }
}

function createWide (values: Partial<JobStep>): JobStep {
  return createStep({ taskCount: 48, size: createSize(4_000), estimatedMs: 250, ...values })
}

/** Starts a cell with one instance, whose policy service permits no target to steps of `refused` and doesn't answer for `silent`. */
async function startCell (): Promise<FakeJobCell> {
  const cell = new FakeJobCell(TARGETS)
  const permitting = createAdviceGateway((stepName) => !stepName.startsWith('refused'))
  const advice: AdviceGateway = {
    fetchAdvice: async (stepName, targetIds, timeoutMs) => {
      return stepName.startsWith('silent') ? NO_ADVICE : await permitting.fetchAdvice(stepName, targetIds, timeoutMs)
    }
  }
  cell.addInstance(advice)
  await cell.advanceUntil(() => cell.findOwner() !== undefined, 2_000)
  await cell.clock.advanceBy(200)
  return cell
}

/** Submits a hopeless job and, once they are late, jobs that become as late themselves. Returns whether those complete. */
async function runBeside (hopeless: Job): Promise<boolean> {
  const cell = await startCell()
  const [only] = cell.instances
  if (only === undefined) return false
  await cell.submit(only, hopeless)
  await cell.clock.advanceBy(LATE_MS)
  // Each task takes far longer than estimated, so the last steps become ready when their jobs are late.
  for (const target of cell.targets.targets.values()) target.faults.slowdown = 16
  const steps = [[], [0], [1]].map((after) => createStep({ estimatedMs: 250, after }))
  const ids = ['aa', 'bb', 'cc']
  for (const id of ids) await cell.submit(only, createJob(id, steps, { terms: createQueuePolicy({ targetDurationMs: 100 }) }))
  for (const id of ids) if (!await cell.advanceUntil(async () => await cell.readState(only, id) === 'completed', 16_000)) return false
  return cell.targets.violations.length === 0
}

interface HopelessCase { readonly title: string, readonly job: Job }

const advisedTerms = createQueuePolicy({ advice: ADVICE })
const hopelessCases: readonly HopelessCase[] = [
  { title: 'of more cores than any target has', job: createJob('large', [createWide({ size: createSize(24_000) })]) },
  { title: 'of more memory than any target has', job: createJob('large', [createWide({ size: createSize(4_000, 100_000) })]) },
  { title: 'with a label that no target has', job: createJob('label', [createWide({ requiredLabel: 'nowhere' })]) },
  { title: 'in a gang wider than all targets', job: createJob('wide', [createWide({ isGang: true })]) },
  {
    title: 'of which each target may hold only one',
    job: createJob('spread', [createWide({ maximumPerTarget: 1, isLongRunning: true, size: createSize(3_000), estimatedMs: 1_000_000 })])
  },
  { title: 'that the policy permits nowhere', job: createJob('refused', [createWide({})], { terms: advisedTerms }) },
  { title: 'for which the policy service gives no answer', job: createJob('silent', [createWide({})], { terms: advisedTerms }) }
]

// Guards against jobs that are never started in an empty cell (LOST): tasks that can't be placed used up what a round considers,
// and once their job was late they came first in every round.
for (const { title, job } of hopelessCases) {
  test(`late jobs complete beside 48 tasks ${title}`, async (t) => {
    t.true(await runBeside(job))
  })
}

// Guards against gangs that hold capacity idle for as long as the policy service doesn't renew their tickets.
test('jobs without a policy complete while gangs get no tickets', async (t) => {
  const cell = new FakeJobCell(TARGETS)
  let isSilent = false
  const permitting = createAdviceGateway(() => true)
  cell.addInstance({
    fetchAdvice: async (stepName, targetIds, timeoutMs) => {
      return isSilent ? NO_ADVICE : await permitting.fetchAdvice(stepName, targetIds, timeoutMs)
    }
  })
  await cell.advanceUntil(() => cell.findOwner() !== undefined, 2_000)
  await cell.clock.advanceBy(200)
  const [only] = cell.instances
  if (only === undefined) return t.fail()
  const blocker = createStep({ taskCount: TARGETS, size: createSize(10_000), estimatedMs: 3_000 })
  t.is(await cell.submit(only, createJob('blocker', [blocker])), 'stored')
  await cell.clock.advanceBy(100)
  const gang = createStep({ taskCount: TARGETS, size: createSize(15_500), isGang: true, estimatedMs: 1_000 })
  const terms = createQueuePolicy({ advice: ADVICE, targetDurationMs: 30_000 })
  for (const id of ['gang0', 'gang1']) t.is(await cell.submit(only, createJob(id, [gang], { terms })), 'stored')
  await cell.clock.advanceBy(200)
  isSilent = true
  // The gangs fit when the blocker has ended, but their tickets have expired by then.
  await cell.clock.advanceBy(8_000)
  t.is(cell.targets.starts.length, TARGETS)
  const lessUrgent = createQueuePolicy({ targetDurationMs: 60_000 })
  const step = createStep({ taskCount: 8, size: createSize(4_000), estimatedMs: 2_000 })
  t.is(await cell.submit(only, createJob('aa', [step], { terms: lessUrgent })), 'stored')
  t.true(await cell.advanceUntil(async () => await cell.readState(only, 'aa') === 'completed', 4_000))
  isSilent = false
  for (const id of ['gang0', 'gang1']) t.true(await cell.advanceUntil(async () => await cell.readState(only, id) === 'completed', 8_000), id)
  t.deepEqual(cell.targets.violations, [])
})

// Guards against a gang that reserves capacity for good: the tasks that last beside it were expected to end at any moment.
test('tasks complete beside a gang that waits for capacity of tasks that last', async (t) => {
  const cell = await startCell()
  const [only] = cell.instances
  if (only === undefined) return t.fail()
  for (const target of cell.targets.targets.values()) target.faults.slowdown = 1_000
  const lasting = createStep({ taskCount: TARGETS, size: createSize(12_000), isLongRunning: true, maximumPerTarget: 1, estimatedMs: 200 })
  t.is(await cell.submit(only, createJob('lasting', [lasting])), 'stored')
  await cell.clock.advanceBy(300)
  t.is(cell.targets.starts.length, TARGETS)
  for (const target of cell.targets.targets.values()) target.faults.slowdown = 1
  t.is(await cell.submit(only, createJob('gang', [createStep({ taskCount: 2 * TARGETS, size: createSize(8_000), isGang: true })])), 'stored')
  await cell.clock.advanceBy(300)
  const step = createStep({ taskCount: 4, size: createSize(4_000), estimatedMs: 2_000 })
  t.is(await cell.submit(only, createJob('aa', [step], { terms: createQueuePolicy({ targetDurationMs: 60_000 }) })), 'stored')
  t.true(await cell.advanceUntil(async () => await cell.readState(only, 'aa') === 'completed', 4_000))
  t.deepEqual(cell.targets.violations, [])
})

// Guards against a task that lasts and takes the capacity that a gang has reserved, because its estimate is short.
test('a task that lasts does not use the capacity that a gang waits for', async (t) => {
  const cell = await startCell()
  const [only] = cell.instances
  if (only === undefined) return t.fail()
  const blocker = createStep({ taskCount: TARGETS, size: createSize(10_000), estimatedMs: 2_000 })
  t.is(await cell.submit(only, createJob('blocker', [blocker])), 'stored')
  await cell.clock.advanceBy(100)
  t.is(await cell.submit(only, createJob('gang', [createStep({ taskCount: TARGETS, size: createSize(12_000), isGang: true })])), 'stored')
  await cell.clock.advanceBy(200)
  const lasting = createStep({ size: createSize(6_000), isLongRunning: true, estimatedMs: 10 })
  t.is(await cell.submit(only, createJob('lasting', [lasting], { terms: createQueuePolicy({ targetDurationMs: 60_000 }) })), 'stored')
  t.true(await cell.advanceUntil(async () => await cell.readState(only, 'gang') === 'completed', 6_000))
  t.deepEqual(cell.targets.violations, [])
})
