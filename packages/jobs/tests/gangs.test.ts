import test from 'ava'
import type { AdviceGateway } from '../src/advice-gateway.js'
import { createAdviceGateway, FakeJobCell, startCell } from './fake-job-cell.js'
import { createJob, createStep, createQueuePolicy } from './job-fixtures.js'

test('all members of a gang start together, as one run and on permitted targets only', async (t) => {
  const cell = new FakeJobCell(4)
  cell.addInstance(createAdviceGateway((_, targetId) => targetId !== 't0'))
  await cell.advanceUntil(() => cell.findOwner() !== undefined, 2_000)
  await cell.clock.advanceBy(100)
  const [only] = cell.instances
  if (only === undefined) return t.fail()
  const advice = { decisionMs: 10, perTargetMs: 1, validityMs: 2_000 }
  const step = createStep({ taskCount: 6, isGang: true, size: { cpuMillis: 8_000, memoryMb: 1_000, accelerators: 0 }, estimatedMs: 2_000 })
  const job = createJob('aa', [step])
  t.is(await cell.submit(only, { ...job, terms: { ...job.terms, advice } }), 'stored')
  t.true(await cell.advanceUntil(async () => await cell.readState(only, 'aa') === 'completed', 12_000))
  t.false(cell.targets.starts.some((start) => start.targetId === 't0'))
  t.is(new Set(cell.targets.starts.map((start) => start.run)).size, 1)
  const times = cell.targets.starts.map((start) => start.atMs)
  t.true(Math.max(...times) - Math.min(...times) < 100)
  t.deepEqual(cell.targets.violations, [])
})

// Two executors failed everything that they started, and a reconciliation used up its attempts there within a second.
test('a gang whose members fail on two faulty targets completes on the others', async (t) => {
  const cell = await startCell(1, 6)
  const [only] = cell.instances
  if (only === undefined) return t.fail()
  for (const id of ['t0', 't1']) cell.targets.get(id).faults.failsAll = true
  const step = createStep({ taskCount: 4, isGang: true, size: { cpuMillis: 8_000, memoryMb: 1_000, accelerators: 0 }, estimatedMs: 400 })
  for (const id of ['aa', 'bb', 'cc']) t.is(await cell.submit(only, createJob(id, [step])), 'stored')
  for (const id of ['aa', 'bb', 'cc']) t.true(await cell.advanceUntil(async () => await cell.readState(only, id) === 'completed', 15_000), id)
})

// Guards against a gang that waits forever because too few targets are left on which it hasn't failed.
test('a gang that has failed on most targets runs on them again when the others can not hold it', async (t) => {
  const cell = await startCell(1, 3)
  const [only] = cell.instances
  if (only === undefined) return t.fail()
  for (const target of cell.targets.targets.values()) target.faults.failsAll = true
  const gang = createStep({ taskCount: 4, isGang: true, size: { cpuMillis: 4_450, memoryMb: 1_000, accelerators: 0 } })
  t.is(await cell.submit(only, createJob('aa', [gang])), 'stored')
  t.true(await cell.advanceUntil(() => cell.targets.starts.length === 4, 1_000))
  await cell.clock.advanceBy(1_050)
  for (const target of cell.targets.targets.values()) target.faults.failsAll = false
  t.true(await cell.advanceUntil(async () => await cell.readState(only, 'aa') === 'completed', 20_000))
  t.deepEqual(cell.targets.violations, [])
})

// Guards against a gang that waits forever for a permitted target that is listed but unusable.
test('advice on targets added later is requested for a gang while a permitted target is unusable', async (t) => {
  const cell = new FakeJobCell(2)
  cell.addInstance(createAdviceGateway(() => true))
  await cell.advanceUntil(() => cell.findOwner() !== undefined, 2_000)
  await cell.clock.advanceBy(300)
  const [only] = cell.instances
  if (only === undefined) return t.fail()
  cell.targets.get('t1').faults.isUnreachable = true
  await cell.clock.advanceBy(6_000)
  const terms = createQueuePolicy({ advice: { decisionMs: 500, perTargetMs: 5, validityMs: 2_000 } })
  const gang = createStep({ taskCount: 4, isGang: true, size: { cpuMillis: 4_450, memoryMb: 1_000, accelerators: 0 } })
  t.is(await cell.submit(only, createJob('aa', [gang], { terms })), 'stored')
  await cell.clock.advanceBy(2_000)
  t.is(cell.targets.starts.length, 0)
  cell.targets.add('t2')
  t.true(await cell.advanceUntil(async () => await cell.readState(only, 'aa') === 'completed', 8_000))
  t.deepEqual(cell.targets.violations, [])
})

// A wide gang on a large pool whose tickets expire while it waits for capacity. Guards against repeatedly requesting tickets
// for other targets than those on which the gang is then placed.
test('a wide gang starts when capacity becomes free although its tickets have expired', async (t) => {
  const cell = new FakeJobCell(200)
  const instant = createAdviceGateway((_, id) => Number(id.slice(1)) % 10 !== 0)
  const advice: AdviceGateway = {
    fetchAdvice: async (stepName, targetIds, timeoutMs) => {
      await new Promise<void>((resolve) => { cell.clock.startTimer(455 + 6.5 * targetIds.length, resolve) })
      return await instant.fetchAdvice(stepName, targetIds, timeoutMs)
    }
  }
  for (let index = 0; index < 3; index++) cell.addInstance(advice)
  await cell.advanceUntil(() => cell.findOwner() !== undefined, 2_000)
  await cell.clock.advanceBy(500)
  const owner = cell.findOwner()
  if (owner === undefined) return t.fail()
  const terms = createQueuePolicy({ advice: { decisionMs: 455, perTargetMs: 6.5, validityMs: 2_000 } })
  const filler = createStep({ taskCount: 200, estimatedMs: 5_000, size: { cpuMillis: 9_000, memoryMb: 100, accelerators: 0 } })
  t.is(await cell.submit(owner, createJob('filler', [filler])), 'stored')
  await cell.clock.advanceBy(200)
  const gang = createStep({ taskCount: 24, isGang: true, size: { cpuMillis: 7_600, memoryMb: 100, accelerators: 0 } })
  t.is(await cell.submit(owner, createJob('gang', [gang], { terms })), 'stored')
  t.true(await cell.advanceUntil(() => cell.targets.starts.some((start) => start.taskName.startsWith('gang')), 8_000))
  t.deepEqual(cell.targets.violations, [])
})
