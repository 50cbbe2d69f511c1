import test from 'ava'
import { AccountTable } from '../src/accounts/account-table.js'
import { AccountUsage } from '../src/accounts/account-usage.js'
import { QuotaGate } from '../src/accounts/quota-gate.js'
import { JobTable, type ReadyStep } from '../src/job-table.js'
import type { JobStep } from '../src/job.js'
import { TurnRotation } from '../src/turn-rotation.js'
import { createAccount, createJob, createQueuePolicy, createStep } from './job-fixtures.js'
import { CAPACITY, createSelector, listSelected, NOW_MS, ROUND, TARGET } from './selector-fixture.js'

/** Creates ready steps whose jobs were accepted one after the other. */
function createReady (count: number, hasPolicy = false, account?: string): ReadyStep[] {
  const table = new JobTable()
  const terms = createQueuePolicy(hasPolicy ? { advice: { decisionMs: 10, perTargetMs: 1, validityMs: 1_000 } } : {})
  for (let index = 0; index < count; index++) {
    const progress = table.add(createJob(`j${index}`, [createStep({ size: { ...CAPACITY, memoryMb: 100 } })], { terms, account }), index)
    progress.addOccurrence()
    table.updateReady(progress, 0, NOW_MS)
  }
  return [...table.listReady()]
}

test('the most urgent steps are selected first, and some of the others in turn', (t) => {
  const selector = createSelector()
  const ready = createReady(40)
  const first = listSelected(selector, ready)
  t.deepEqual(first.slice(0, 2), ['j0', 'j1'])
  t.is(first.length, 12)
  const seen = new Set(first)
  // Guards against steps that are never considered because those before them are not placed, for whatever reason.
  for (let round = 0; round < 3; round++) for (const id of listSelected(selector, ready)) seen.add(id)
  t.is(seen.size, 40)
})

test('steps beyond the limit reserve nothing, and need no advice while the policy service is busy', (t) => {
  t.deepEqual([...createSelector().select(createReady(4), ROUND)].map(({ mayReserve }) => mayReserve), [true, true, false, false])
  t.is(listSelected(createSelector(false), createReady(4, true)).length, 2)
  t.is(listSelected(createSelector(true), createReady(4, true)).length, 4)
})

// Guards against less urgent work that takes the capacity for which gangs wait in a full pool.
test('no step beyond the limit is selected while the targets are more than half full', (t) => {
  const full = { ...TARGET, free: { ...CAPACITY, cpuMillis: CAPACITY.cpuMillis / 2 - 1 } }
  const selected = [...createSelector().select(createReady(40), { ...ROUND, usable: [full] })]
  t.deepEqual(selected.map(({ ready: { progress } }) => progress.job.id), ['j0', 'j1'])
})

test('a step that waits after failures leaves its place to others', (t) => {
  const ready = createReady(4)
  for (const { step } of ready.slice(0, 2)) step.notBeforeMs = NOW_MS + 1
  t.deepEqual(listSelected(createSelector(), ready), ['j2', 'j3'])
})

test('a rotation chooses each item in turn and begins again after the last', (t) => {
  const rotation = new TurnRotation(2)
  t.deepEqual([1, 2, 3].map(() => rotation.choose(['a', 'b', 'c', 'd', 'e'])), [['a', 'b'], ['c', 'd'], ['e', 'a']])
  t.deepEqual(rotation.choose(['a']), ['a'])
})

// Guards against an account at its quota whose waiting work keeps a round from considering that of other accounts.
test('steps that the quota leaves no room for are left out and take no turn, and the others count with what it leaves', (t) => {
  const usage = new AccountUsage()
  const accounts = new AccountTable([
    createAccount({ quota: { ...CAPACITY, accelerators: 0 } }), createAccount({ name: 'south', quota: CAPACITY }), createAccount({ name: 'east' })
  ])
  const gate = new QuotaGate(() => accounts, usage, () => {})
  usage.add({ account: 'north', size: { cpuMillis: 1_000, memoryMb: 0, accelerators: 0 }, isLasting: false })
  const ready = ['north', 'south', 'east'].flatMap((account) => createReady(20, false, account))
  gate.beginRound(NOW_MS)
  const selected = [...createSelector(true, gate).select(ready, ROUND)].map(({ ready: { progress: { job } } }) => job.account)
  t.false(selected.includes('north'))
  t.is(selected.length, 12)
})

test('a step counts as demand only with the tasks that the quota leaves room for', (t) => {
  const table = new JobTable()
  for (const account of ['north', 'east', 'west']) {
    const progress = table.add(createJob(account, [createStep({ taskCount: 32 })], { account }), 0)
    progress.addOccurrence()
    table.updateReady(progress, 0, NOW_MS)
  }
  const accounts = new AccountTable([createAccount({ quota: { cpuMillis: 2_500, memoryMb: 0, accelerators: 0 } })])
  const gate = new QuotaGate(() => accounts, new AccountUsage(), () => {})
  gate.beginRound(NOW_MS)
  const full = { ...TARGET, free: { ...CAPACITY, cpuMillis: 0 } }
  const selected = [...createSelector(true, gate).select(table.listReady(), { ...ROUND, usable: [full, { ...full, id: 't1' }] })]
  t.deepEqual(selected.map(({ ready: { progress }, startableCount }) => [progress.job.id, startableCount]), [['north', 2], ['east', 32], ['west', 32]])
})

// Guards against work that waits beside free capacity and quota for a gang that can't start whatever becomes free.
test('a gang that no target could hold holds no quota', (t) => {
  const table = new JobTable()
  const add = (id: string, step: Partial<JobStep>): void => {
    const progress = table.add(createJob(id, [createStep(step)], { account: 'north', terms: createQueuePolicy({ targetDurationMs: 0 }) }), 0)
    progress.addOccurrence()
    table.updateReady(progress, 0, 0)
  }
  add('gang', { isGang: true, taskCount: 4, requiredLabel: 'none' })
  add('single', {})
  const accounts = new AccountTable([createAccount({ quota: { cpuMillis: 4_000, memoryMb: 0, accelerators: 0 } })])
  const usage = new AccountUsage()
  usage.add({ account: 'north', size: { cpuMillis: 1_000, memoryMb: 0, accelerators: 0 }, isLasting: false })
  const gate = new QuotaGate(() => accounts, usage, () => {})
  const selector = createSelector(true, gate)
  const listAt = (nowMs: number): string[] => {
    gate.beginRound(nowMs)
    return [...selector.select(table.listReady(), { ...ROUND, nowMs })].map(({ ready: { progress } }) => progress.job.id)
  }
  // Its latest start has passed, and it has not waited for three times its objective.
  t.deepEqual(listAt(2_000), ['single'])
  t.deepEqual(listAt(2_006), ['single'])
})
