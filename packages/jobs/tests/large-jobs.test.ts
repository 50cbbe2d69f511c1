import test from 'ava'
import { JobTable } from '../src/job-table.js'
import { createJob, createStep } from './job-fixtures.js'
import { createSupervisor } from './supervisor-fixture.js'

const TASKS = 100_000

// Guards against an owner that runs out of memory (review/11): it made an object for each task of each accepted job, so that 30 bodies of
// 98 bytes ended each owner in turn.
test('what an owner holds does not grow with the number of tasks that accepted jobs have', (t) => {
  const table = new JobTable()
  const supervisor = createSupervisor({ table })
  for (const id of ['aa', 'bb', 'cc']) supervisor.adoptJob(createJob(id, [createStep({ taskCount: TASKS })]), 0)
  t.deepEqual(table.measureHoldings(), { jobs: 3, steps: 3, tasks: 0 })
  t.deepEqual([...table.listReady()].map(({ step }) => step.countPending()), [TASKS, TASKS, TASKS])
})
