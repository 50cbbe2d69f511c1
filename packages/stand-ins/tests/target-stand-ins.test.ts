import { SystemClock } from '@hibiscusledge/runtime/system-clock.js'
import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import test, { type ExecutionContext } from 'ava'
import { Agent, request } from 'undici'
import { ExecutorStandIn } from '../src/executor-stand-in.js'
import { TargetStandInGroup } from '../src/target-stand-in-group.js'
import type { TargetStandInOptions } from '../src/target-stand-in.js'
import { TaskLog } from '../src/task-log.js'
import { isIntactResult } from '../src/work-profile.js'
import { WorkerStandIn } from '../src/worker-stand-in.js'
import { waitFor } from './wait-for.js'

interface TargetResponse {
  readonly status: number
  readonly isNotRun: boolean
  readonly body: Record<string, unknown>
}

const clock = new SystemClock()
const NEVER_ENDING_PAYLOAD = { standIn: { runMs: 1e12 } }

function createOptions (id: string): TargetStandInOptions {
  return { id, clock, random: new SeededRandomSource(1), serviceTimes: new Map(), host: '127.0.0.1', maxConnections: 64, labels: {} }
}

async function startExecutor (t: ExecutionContext): Promise<{ executor: ExecutorStandIn, origin: string }> {
  const executor = new ExecutorStandIn(createOptions('e1'), 8)
  const origin = `http://${await executor.start()}`
  t.teardown(async () => await executor.stop())
  return { executor, origin }
}

async function startWorkers (t: ExecutionContext, count = 1): Promise<{ workers: WorkerStandIn[], origins: string[], taskLog: TaskLog }> {
  const taskLog = new TaskLog(clock)
  const workers = Array.from({ length: count }, (_, index) => new WorkerStandIn({
    ...createOptions(`w${index}`), taskLog, capacity: { cores: 16, memoryMb: 1024, accelerators: 0 }, usageLagMs: 0, usageFactors: new Map([['default', 0.5]])
  }))
  const origins = await Promise.all(workers.map(async (worker) => `http://${await worker.start()}`))
  t.teardown(async () => { await Promise.all(workers.map((worker) => worker.stop())) })
  return { workers, origins, taskLog }
}

async function send (method: 'GET' | 'POST' | 'PUT', url: string, body?: unknown, headers = {}, dispatcher?: Agent): Promise<TargetResponse> {
  const response = await request(url, {
    method, headers, body: body === undefined ? null : JSON.stringify(body), ...(dispatcher === undefined ? {} : { dispatcher })
  })
  return {
    status: response.statusCode,
    isNotRun: response.headers['x-not-run'] === 'true',
    body: await response.body.json() as Record<string, unknown>
  }
}

async function sendRun (origin: string, requestId: string, payload: unknown = {}, dispatcher?: Agent): Promise<TargetResponse> {
  const headers = { 'ce-id': requestId, 'ce-type': 'kind', 'ce-source': '/test', 'ce-specversion': '1.0', 'x-attempt': '1' }
  return await send('POST', `${origin}/run`, payload, headers, dispatcher)
}

async function startTask (origin: string, taskId: string, change: object = {}): Promise<TargetResponse> {
  const task = { requestId: 'r1', attempt: 1, kind: 'kind', resources: { cores: 4, memoryMb: 64, accelerators: 0 }, leaseMs: 600_000, payload: NEVER_ENDING_PAYLOAD }
  return await send('PUT', `${origin}/tasks/${taskId}`, { ...task, ...change })
}

async function sendSync (origin: string, change: object = {}): Promise<Array<Record<string, unknown>>> {
  const response = await send('POST', `${origin}/sync`, { renew: [], acknowledge: [], leaseMs: 600_000, waitMs: 0, ...change })
  return response.body['tasks'] as Array<Record<string, unknown>>
}

test('an executor returns an intact result for its request, and its log and status endpoint agree with it', async (t) => {
  const { executor, origin } = await startExecutor(t)
  const payload = { sum: 3, standIn: { resultBytes: 100_000 } }
  const response = await sendRun(origin, 'r1', payload)
  t.is(response.status, 200)
  t.true(isIntactResult(response.body, 'r1', payload))
  t.false(isIntactResult(response.body, 'r2', payload))
  t.false(isIntactResult(response.body, 'r1', { sum: 4 }))
  t.false(isIntactResult({ ...response.body, text: 'cut' }, 'r1', payload))
  t.deepEqual((await send('GET', `${origin}/runs/r1`)).body, { attempt: 1, state: 'completed', result: response.body })
  t.deepEqual((await send('GET', `${origin}/runs/r1?attempt=2`)).body, { state: 'absent' })
  t.like(executor.runs[0], { requestId: 'r1', attempt: 1, concurrency: 1, isOvercommitted: false, outcome: 'succeeded' })
})

test('an executor records an overcommit instead of preventing it', async (t) => {
  const { executor, origin } = await startExecutor(t)
  for (let index = 0; index < 9; index++) sendRun(origin, `r${index}`, NEVER_ENDING_PAYLOAD).catch(() => {})
  await waitFor('nine runs', () => executor.runs.length === 9)
  t.deepEqual(executor.runs.filter((run) => run.isOvercommitted).map((run) => run.concurrency), [9])
})

test('an executor marks a refusal as not run only when nothing has run', async (t) => {
  const { executor, origin } = await startExecutor(t)
  t.like(await send('POST', `${origin}/run`, {}), { status: 400, isNotRun: true })
  await executor.setFaults({ leaving: true })
  t.like(await sendRun(origin, 'r1'), { status: 503, isNotRun: true })
  t.like(await send('GET', `${origin}/progress`), { body: { leaving: true } })
  t.is(executor.runs.length, 0)
  await executor.setFaults({ leaving: false, failAll: true })
  t.like(await sendRun(origin, 'r1'), { status: 500, isNotRun: false })
  t.like((await send('GET', `${origin}/runs/r1`)).body, { state: 'completed', error: { message: 'the run failed' } })
})

test('a run whose response was lost has the status completed', async (t) => {
  const { executor, origin } = await startExecutor(t)
  await executor.setFaults({ loseNextAnswers: 1 })
  await t.throwsAsync(sendRun(origin, 'r1'))
  t.like((await send('GET', `${origin}/runs/r1`)).body, { state: 'completed' })
  t.is((await sendRun(origin, 'r2')).status, 200)
})

test('paused connections never respond again while new ones work', async (t) => {
  const { executor, origin } = await startExecutor(t)
  const agent = new Agent({ connections: 1 })
  t.teardown(async () => await agent.destroy())
  t.is((await sendRun(origin, 'r1', {}, agent)).status, 200)
  await executor.setFaults({ silence: true })
  let responseCount = 0
  sendRun(origin, 'r2', {}, agent).then(() => { responseCount++ }, () => {})
  t.is((await sendRun(origin, 'r3')).status, 200)
  t.is(responseCount, 0)
  t.deepEqual(executor.runs.map(({ requestId }) => requestId), ['r1', 'r3'])
})

test('progress stops while work is frozen and otherwise grows even when no work ends, so that hung and saturated targets can be told apart', async (t) => {
  const { executor, origin } = await startExecutor(t)
  const readProgress = async (): Promise<number> => Number((await send('GET', `${origin}/progress`)).body['progress'])
  sendRun(origin, 'r1', NEVER_ENDING_PAYLOAD).catch(() => {})
  await waitFor('progress without an end', async () => await readProgress() > 2)
  await executor.setFaults({ freeze: 'work' })
  const frozenAt = await readProgress()
  await new Promise<void>((resolve) => { setTimeout(resolve, 50) })
  t.is(await readProgress(), frozenAt)
  await executor.setFaults({ freeze: 'none' })
  await waitFor('progress again', async () => await readProgress() > frozenAt)
})

test('a worker keeps an ended task until it is acknowledged, and a repeated start returns it and is recorded', async (t) => {
  const { origins: [origin = ''], taskLog } = await startWorkers(t)
  t.is((await startTask(origin, 't1', { payload: { standIn: { runMs: 5 } } })).status, 201)
  const [ended] = await sendSync(origin, { waitMs: 60_000 })
  t.like(ended, { taskId: 't1', requestId: 'r1', attempt: 1, state: 'completed' })
  t.like(await startTask(origin, 't1'), { status: 200, body: { state: 'completed' } })
  t.deepEqual(taskLog.violations.map(({ type }) => type), ['duplicateStart'])
  t.is(taskLog.records.length, 1)
  t.deepEqual(await sendSync(origin, { acknowledge: ['t1'] }), [])
})

test('a task without lease renewals is lost, a renewed one keeps running, and the long poll returns as soon as a task ends', async (t) => {
  const { origins: [origin = ''] } = await startWorkers(t)
  await startTask(origin, 'renewed', { leaseMs: 2_000 })
  await sendSync(origin, { renew: ['renewed'] })
  await startTask(origin, 'left', { leaseMs: 2_500 })
  const tasks = await sendSync(origin, { waitMs: 60_000 })
  t.deepEqual(tasks.map(({ taskId, state }) => [taskId, state]), [['renewed', 'running'], ['left', 'lost']])
})

test('stop, checkpoint and throttle return the state of the task', async (t) => {
  const { origins: [origin = ''] } = await startWorkers(t)
  for (const taskId of ['t1', 't2', 't3']) await startTask(origin, taskId)
  t.like((await send('POST', `${origin}/tasks/t1/stop`)).body, { state: 'stopped' })
  const checkpointed = await send('POST', `${origin}/tasks/t2/checkpoint`)
  t.like(checkpointed.body, { state: 'checkpointed' })
  t.like((await send('POST', `${origin}/tasks/t2/stop`)).body, { state: 'checkpointed' })
  t.like((await send('POST', `${origin}/tasks/t3/throttle`, { speed: 0.5 })).body, { state: 'running', usage: { cores: 1, memoryMb: 32 } })
  t.is((await startTask(origin, 't4', { attempt: 2, checkpoint: checkpointed.body['checkpoint'] })).status, 201)
  t.is((await send('POST', `${origin}/tasks/absent/stop`)).status, 404)
})

test('the task log detects overcommits and double runs across workers, and does not report the tasks of a gang', async (t) => {
  const { origins: [first = '', second = ''], taskLog } = await startWorkers(t, 2)
  await startTask(first, 'gang-0')
  await startTask(second, 'gang-1')
  t.deepEqual(taskLog.violations, [])
  await startTask(second, 'again', { attempt: 2 })
  await startTask(first, 'large', { requestId: 'r2', resources: { cores: 13, memoryMb: 1, accelerators: 0 } })
  t.deepEqual(taskLog.violations.map(({ type, worker }) => [type, worker]), [['doubleRun', 'w1'], ['overcommit', 'w0']])
})

test('the admin port works while its targets are down, and refuses unknown targets and faults', async (t) => {
  const executor = new ExecutorStandIn(createOptions('e1'), 8)
  const host = new TargetStandInGroup([executor], () => executor.runs)
  const { admin, targets: [address = ''] } = await host.start()
  t.teardown(async () => await host.stop())
  const setFaults = async (body: object): Promise<number> => (await send('POST', `http://${admin}/admin/faults`, body)).status
  t.is(await setFaults({ target: 'e1', down: true }), 200)
  await t.throwsAsync(sendRun(`http://${address}`, 'r1'), { code: 'ECONNREFUSED' })
  t.is(await setFaults({ target: '*', down: false, freeze: 'none' }), 200)
  t.is((await sendRun(`http://${address}`, 'r1')).status, 200)
  t.is((await send('GET', `http://${admin}/log`)).status, 200)
  t.is(await setFaults({ target: 'e2', down: true }), 404)
  t.is(await setFaults({ target: 'e1', dwon: true }), 400)
})
