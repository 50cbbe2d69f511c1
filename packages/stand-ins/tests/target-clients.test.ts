import test, { type ExecutionContext } from 'ava'
import { ExecutorClient } from '@hibiscusledge/dispatch/executor-client.js'
import type { RunOrder, TargetAddress } from '@hibiscusledge/dispatch/target-client.js'
import { WorkerClient } from '@hibiscusledge/dispatch/worker-client.js'
import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import { toRequestId, toTargetId } from '@hibiscusledge/runtime/identifiers.js'
import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import { SystemClock } from '@hibiscusledge/runtime/system-clock.js'
import { ExecutorStandIn } from '../src/executor-stand-in.js'
import type { TargetStandIn } from '../src/target-stand-in.js'
import { TaskLog } from '../src/task-log.js'
import { isIntactResult } from '../src/work-profile.js'
import { WorkerStandIn } from '../src/worker-stand-in.js'

const PAYLOAD = { amount: 12 }

function createOrder (name: string, change: Partial<RunOrder> = {}): RunOrder {
  return {
    requestId: toRequestId(`00-${name}`),
    attempt: 1,
    taskIndex: 0,
    kind: 'posting',
    isIdempotent: false,
    resources: { cores: 1, memoryMb: 64, accelerators: 0 },
    payload: PAYLOAD,
    checkpoint: undefined,
    timeoutMs: 30_000,
    trace: undefined,
    ...change
  }
}

function createOptions (clock: FakeClock | SystemClock): ConstructorParameters<typeof ExecutorStandIn>[0] {
  return { id: 'target-1', clock, random: new SeededRandomSource(1), serviceTimes: new Map(), host: '127.0.0.1', maxConnections: 64, labels: {} }
}

async function startTarget (t: ExecutionContext, standIn: TargetStandIn): Promise<TargetAddress> {
  const address = await standIn.start(0)
  t.teardown(async () => { await standIn.stop() })
  return { id: toTargetId('target-1'), address, connections: 64 }
}

interface ExecutorFixture { executor: ExecutorStandIn, client: ExecutorClient, target: TargetAddress }

async function createExecutor (t: ExecutionContext): Promise<ExecutorFixture> {
  const clock = new SystemClock()
  const executor = new ExecutorStandIn(createOptions(clock), 8)
  const client = new ExecutorClient(clock, '/hibiscusledge/test')
  t.teardown(async () => { await client.close() })
  // With two connections the client keeps one, so that the next run uses it after it has become unresponsive.
  return { executor, client, target: { ...await startTarget(t, executor), connections: 2 } }
}

test('an idempotent run on an unresponsive connection ends long before its deadline, so that it can run elsewhere', async (t) => {
  const { executor, client, target } = await createExecutor(t)
  await client.run(target, createOrder('first', { isIdempotent: true }))
  await executor.setFaults({ silence: true })
  const report = await client.run(target, createOrder('second', { isIdempotent: true, timeoutMs: 3_600_000 }))
  t.is(report.type, 'lost')
  t.is(executor.runs.length, 1)
})

test('a non-idempotent run does not use a connection that may have become unresponsive', async (t) => {
  const { executor, client, target } = await createExecutor(t)
  await client.run(target, createOrder('first', { isIdempotent: true }))
  await executor.setFaults({ silence: true })
  t.is((await client.run(target, createOrder('second'))).type, 'succeeded')
})

test('a response that was lost after the run is fetched, and the run is not sent again', async (t) => {
  const { executor, client, target } = await createExecutor(t)
  await executor.setFaults({ loseNextAnswers: 1 })
  const order = createOrder('lost')
  t.is((await client.run(target, order)).type, 'unknown')
  const report = await client.attach(target, order)
  t.true(report.type === 'succeeded' && isIntactResult(report.result, order.requestId, PAYLOAD))
  t.is(executor.runs.length, 1)
})

test('attaching to a run does not return the run of another attempt', async (t) => {
  const { client, target } = await createExecutor(t)
  await client.run(target, createOrder('again', { attempt: 1 }))
  t.is((await client.attach(target, createOrder('again', { attempt: 2, timeoutMs: 1 }))).type, 'unknown')
})

test('an order that the target refuses is reported as not run', async (t) => {
  const { executor, client, target } = await createExecutor(t)
  await executor.setFaults({ leaving: true })
  t.like(await client.run(target, createOrder('refused')), { type: 'notRun', isLeaving: true })
  t.is(executor.runs.length, 0)
})

test('an order to an unreachable target is reported as not run', async (t) => {
  const { executor, client, target } = await createExecutor(t)
  await executor.setFaults({ down: true })
  t.like(await client.run(target, createOrder('down')), { type: 'notRun', isLeaving: false })
  await executor.setFaults({ down: false })
})

test('work that failed on the target is reported as failed', async (t) => {
  const { executor, client, target } = await createExecutor(t)
  await executor.setFaults({ failAll: true })
  t.like(await client.run(target, createOrder('failing')), { type: 'failed', message: 'the run failed' })
})

interface WorkerFixture { clock: FakeClock, worker: WorkerStandIn, client: WorkerClient, target: TargetAddress, taskLog: TaskLog }

async function createWorker (t: ExecutionContext): Promise<WorkerFixture> {
  const clock = new FakeClock()
  const taskLog = new TaskLog(clock)
  const capacity = { cores: 16, memoryMb: 65_536, accelerators: 0 }
  const worker = new WorkerStandIn({ ...createOptions(clock), capacity, taskLog, usageLagMs: 0, usageFactors: new Map() })
  const client = new WorkerClient(clock, () => {})
  t.teardown(async () => { await client.close() })
  return { clock, worker, client, taskLog, target: await startTarget(t, worker) }
}

/** Advances the clock in small steps, with time for HTTP on loopback in between, until the promise settles. */
async function advanceUntilSettled<Value> (clock: FakeClock, promise: Promise<Value>, limitMs: number): Promise<Value | 'timeout'> {
  const settled: Value[] = []
  void promise.then((value) => { settled.push(value) })
  for (let elapsedMs = 0; elapsedMs < limitMs && settled.length === 0; elapsedMs += 100) {
    await clock.advanceBy(100)
    await new Promise<void>((resolve) => { setTimeout(resolve, 4) })
  }
  return settled[0] ?? 'timeout'
}

test('a task that runs longer than its lease is renewed until it ends', async (t) => {
  const { clock, client, target, taskLog } = await createWorker(t)
  const report = await advanceUntilSettled(clock, client.run(target, createOrder('long', { payload: { standIn: { runMs: 60_000 } } })), 120_000)
  t.like(report, { type: 'succeeded' })
  t.deepEqual(taskLog.records.map(({ outcome }) => outcome), ['completed'])
})

test('a task on an unreachable worker is reported as lost only after the worker has ended it', async (t) => {
  const { clock, client, target, worker, taskLog } = await createWorker(t)
  const running = client.run(target, createOrder('frozen', { payload: { standIn: { runMs: 600_000 } } }))
  await advanceUntilSettled(clock, running, 2_000)
  await worker.setFaults({ down: true })
  const report = await advanceUntilSettled(clock, running, 60_000)
  await worker.setFaults({ down: false })
  t.like(report, { type: 'lost' })
  t.is(taskLog.records[0]?.outcome, 'lost')
})
