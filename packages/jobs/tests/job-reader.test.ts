import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import { InMemoryStore } from '@hibiscusledge/store/in-memory-store.js'
import type { Mutation } from '@hibiscusledge/store/key-value-store.js'
import test from 'ava'
import { formatCancelKey, formatFinishedKey, formatJobKey, formatProgressKey } from '../src/job-keys.js'
import { JobReader } from '../src/job-reader.js'
import { encodeJob } from '../src/job-record.js'
import { JOB_STATES, type JobState } from '../src/job.js'
import { FakeMesh } from './fake-peer-network.js'
import { createJob } from './job-fixtures.js'

const JOB: Mutation = { type: 'put', key: formatJobKey('aa'), value: encodeJob(createJob('aa')) }
const CANCELLATION: Mutation = { type: 'put', key: formatCancelKey('aa'), value: '1' }

function createProgress (state: JobState): Mutation {
  return { type: 'put', key: formatProgressKey('aa'), value: JSON.stringify({ version: 1, state, occurrences: 1, steps: [] }) }
}

function createFinal (state: JobState): readonly Mutation[] {
  return [
    { type: 'put', key: formatFinishedKey('aa'), value: JSON.stringify({ version: 1, state, finishedAtMs: 1 }) },
    { type: 'delete', key: formatJobKey('aa') },
    { type: 'delete', key: formatProgressKey('aa') }
  ]
}

/** Reads the state of a job as an instance without a link to the owner does, after each of the writes. */
async function readStates (writes: ReadonlyArray<readonly Mutation[]>): Promise<readonly (string | undefined)[]> {
  const clock = new FakeClock()
  const store = new InMemoryStore(clock)
  const reader = new JobReader(new FakeMesh().createNetwork('i0'), store, () => undefined)
  const states: (string | undefined)[] = []
  for (const mutations of writes) {
    await store.commitTransaction({ comparisons: [], mutations: [...mutations] }, 'critical')
    const state = await reader.readState('aa')
    states.push(state.ok ? state.val : `error: ${state.val}`)
  }
  return states
}

// Guards against a final state that changes: a stored cancellation is a request, and the owner may complete the job before it
// learns of it. Only the transaction of the owner decides between the two.
test('a job with a stored cancellation is not shown as cancelled before the owner has stored that', async (t) => {
  const states = await readStates([[JOB], [CANCELLATION], [createProgress(JOB_STATES.running)], createFinal(JOB_STATES.completed)])
  t.deepEqual(states, ['queued', 'queued', 'running', 'completed'])
})

test('a cancelled job whose runs are still being stopped is shown as cancelled', async (t) => {
  const states = await readStates([
    [JOB], [createProgress(JOB_STATES.running), CANCELLATION], [createProgress(JOB_STATES.cancelled)], createFinal(JOB_STATES.cancelled)
  ])
  t.deepEqual(states, ['queued', 'running', 'cancelled', 'cancelled'])
})

test('a job that was never accepted has no state', async (t) => {
  t.deepEqual(await readStates([[CANCELLATION]]), [undefined])
})
