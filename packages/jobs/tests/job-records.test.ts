import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import fc from 'fast-check'
import test from 'ava'
import { JobProgress } from '../src/job-progress.js'
import { decodeJob, encodeJob } from '../src/job-record.js'
import { buildMutations, decodeFinished, decodeProgress, encodeProgress } from '../src/progress-record.js'
import { formatTaskName, parseTaskName } from '../src/task-run.js'
import { createJob, createStep, createQueuePolicy } from './job-fixtures.js'

const SEED = 20_261_204

test('a decoded job equals the encoded one', (t) => {
  const terms = createQueuePolicy({ advice: { decisionMs: 500, perTargetMs: 5.1, validityMs: 2_000 } })
  const job = createJob('aa', [createStep({ isGang: true, dataRack: 'r1' }), createStep({ after: [0] })], {
    terms, schedule: { occurrences: 3, firstDueMs: 5, intervalMs: 7 }
  })
  const decoded = decodeJob(encodeJob(job))
  t.deepEqual(decoded.ok ? decoded.val : undefined, job)
})

test('decoded progress has the state of the encoded tasks', (t) => {
  const progress = new JobProgress(createJob('aa', [createStep({ taskCount: 3 }), createStep({ taskCount: 2 })]), 0)
  const [first, second] = progress.addOccurrence()
  if (first === undefined || second === undefined) return t.fail()
  first.markDone(0)
  const failed = first.ensureTask(1)
  failed.failures = 2
  failed.checkpoint = 'c7'
  second.markAllDone()
  const decoded = decodeProgress(encodeProgress(progress))
  t.deepEqual(decoded.ok ? decoded.val.steps : undefined, [
    { occurrence: 0, step: 0, done: [[0, 0]], runs: [], failures: [[1, 2]], gangFailures: 0, checkpoints: [[1, 'c7']] },
    { occurrence: 0, step: 1, done: true, runs: [], failures: [], gangFailures: 0, checkpoints: [] }
  ])
})

test('of a finished job only the final state is stored', (t) => {
  const progress = new JobProgress(createJob('aa'), 0)
  const [step] = progress.addOccurrence()
  step?.markAllDone()
  const mutations = buildMutations(progress, new FakeClock().readWallMs())
  t.deepEqual(mutations.map(({ type, ...rest }) => [type, 'key' in rest ? rest.key : '']), [
    ['put', 'finished/aa'], ['delete', 'work/job/aa'], ['delete', 'progress/aa']
  ])
  const [put] = mutations
  const finished = put?.type === 'put' ? decodeFinished(put.value) : undefined
  t.is(finished?.ok === true ? finished.val.state : undefined, 'completed')
})

// Guards against an owner that crashes on a record written by another version or corrupted by a fault.
test('record decoders do not throw on any text', (t) => {
  fc.assert(fc.property(fc.oneof(fc.string(), fc.json(), fc.json().map((text) => `{"version":1,"job":${text}}`)), (text) => {
    decodeJob(text)
    decodeProgress(text)
    decodeFinished(text)
    return true
  }), { seed: SEED, numRuns: 500 })
  t.pass()
})

test('a formatted task name is parsed into its key, and other names are rejected', (t) => {
  const key = { jobId: '5c0e7a21d94b36f8', occurrence: 2, step: 1, index: 17 }
  t.deepEqual(parseTaskName(formatTaskName(key)), key)
  for (const name of ['', 'a', 'a.1.2', 'a.b.c.d', 'a.1.2.x']) t.is(parseTaskName(name), undefined)
})
