import test from 'ava'
import { AccountTable } from '../src/accounts/account-table.js'
import type { FakeInstance, FakeJobCell } from './fake-job-cell.js'
import { startCell } from './fake-job-cell.js'
import { createAccount, createJob, createQueuePolicy, createStep } from './job-fixtures.js'

const ACCOUNTS = new AccountTable([{ name: 'a', weight: 1, quota: { cpuMillis: 0, memoryMb: 0, accelerators: 0 }, keys: [] }])
const SHORT_TERMS = createQueuePolicy({ stretch: 1.5, targetDurationMs: 250 })

/** Submits jobs until the work ahead lasts for a minute, and waits until some of it is finished. */
async function submitBacklog (cell: FakeJobCell, instance: FakeInstance, account?: string): Promise<void> {
  const terms = createQueuePolicy({ stretch: 100 })
  for (let index = 0; index < 4; index++) {
    await cell.submit(instance, createJob(`busy${index}`, [createStep({ taskCount: 1_000 })], { terms, account }))
  }
  await cell.clock.advanceBy(4_000)
}

async function submitNew (cell: FakeJobCell, { service }: FakeInstance, id: string): Promise<unknown> {
  const nowMs = cell.clock.readMonotonicMs()
  const job = createJob(id, [createStep()], { terms: SHORT_TERMS })
  const pending = service.submitJob(job, { refuseAtMs: nowMs + 1_000, giveUpAtMs: nowMs + 2_000 })
  await cell.clock.advanceBy(50)
  return await pending
}

// Load pattern: a flood that would keep callers waiting far beyond three times their objective.
test('an instance refuses a job by the report of the owner, and the job never runs', async (t) => {
  const cell = await startCell(2, 4)
  cell.accounts = ACCOUNTS
  const other = cell.instances.find((instance) => instance !== cell.findOwner())
  if (other === undefined) return t.fail()
  await submitBacklog(cell, other)
  t.regex(JSON.stringify(await submitNew(cell, other, 'aa')), /^{"reason":"overload","retryAfterS":\d+}$/)
  t.is(await cell.readState(other, 'aa'), undefined)
  t.true((await cell.store.readKey('work/job/aa', 'critical')).map((value) => value === undefined).val)
  // The same job is accepted by an instance that has lost its link to the owner, and refused by none from then on.
  cell.mesh.unreachable.add(other.name)
  await cell.clock.advanceBy(1_600)
  t.is(await submitNew(cell, other, 'aa'), 'stored')
  cell.mesh.unreachable.clear()
  await cell.clock.advanceBy(1_000)
  for (const instance of cell.instances) t.is(await submitNew(cell, instance, 'aa'), 'stored')
})

test('no job is refused while the configuration names no account', async (t) => {
  const cell = await startCell(2, 4)
  const [first] = cell.instances
  if (first === undefined) return t.fail()
  await submitBacklog(cell, first)
  for (const instance of cell.instances) t.is(await submitNew(cell, instance, `b${instance.name}`), 'stored')
})

// Load pattern: an account at its quota with a long backlog, beside targets that are mostly idle.
test('no job is refused for the backlog of an account that its quota holds back', async (t) => {
  const cell = await startCell(2, 4)
  cell.accounts = new AccountTable([
    createAccount({ name: 'a', weight: 100, quota: { cpuMillis: 1_000, memoryMb: 0, accelerators: 0 } }), createAccount({ name: 'b' })
  ])
  const [first] = cell.instances
  if (first === undefined) return t.fail()
  await submitBacklog(cell, first, 'a')
  for (const instance of cell.instances) t.is(await submitNew(cell, instance, `b${instance.name}`), 'stored')
})
