import { Err, Ok } from '@hibiscusledge/runtime/result.js'
import test from 'ava'
import { JOB_MESSAGES } from '../src/job-messages.js'
import { serveOrder } from '../src/order-message.js'
import { DelegatingTargetGateway } from '../src/delegating-target-gateway.js'
import type { OrderError, StartOrder, TargetGateway, TargetReport } from '../src/target-gateway.js'
import { createJob, createStep } from './job-fixtures.js'
import { FakeJobCell } from './fake-job-cell.js'
import { FakeMesh } from './fake-peer-network.js'

const MANY_TARGETS = 100
const START: StartOrder = {
  taskName: 'aa.0.0.0', run: 1_001, specification: 'post dues', validUntilMs: 5_000, fencingToken: 7, checkpoint: '', ticket: undefined
}
const REPORT: TargetReport = {
  targetClockMs: 12,
  startedAtMs: 3,
  running: [{ taskName: 'aa.0.0.0', run: 1_001, checkpoint: 'c1', percent: 40 }],
  ended: [{ number: 4, taskName: 'aa.0.0.1', run: 1_001, outcome: 'done', checkpoint: '' }]
}

interface Fixture {
  readonly gateway: DelegatingTargetGateway
  readonly mesh: FakeMesh
  /** Names of the instances that sent the orders, in the sequence of sending. */
  readonly senders: string[]
  /** When set, all orders fail with this error. */
  error: OrderError | undefined
}

function createFixture (delegates: readonly string[]): Fixture {
  const mesh = new FakeMesh()
  const senders: string[] = []
  const createDirect = (name: string): TargetGateway => {
    const answer = async <Value>(value: Value) => {
      senders.push(name)
      return fixture.error === undefined ? Ok(value) : Err(fixture.error)
    }
    return {
      startRun: async () => await answer({ targetClockMs: 12 }),
      stopRun: async () => await answer({ targetClockMs: 12 }),
      fetchReport: async () => await answer(REPORT),
      removeTarget: () => {}
    }
  }
  for (const name of delegates) {
    const direct = createDirect(name)
    mesh.createNetwork(name).registerHandler(JOB_MESSAGES.sendOrder, async (body) => await serveOrder(direct, body))
  }
  const fixture: Fixture = { gateway: new DelegatingTargetGateway(mesh.createNetwork('owner'), createDirect('owner')), mesh, senders, error: undefined }
  return fixture
}

async function startOnAll ({ gateway }: Fixture, count: number): Promise<void> {
  for (let index = 0; index < count; index++) await gateway.startRun({ id: `t${index}`, address: `t${index}:1` }, START)
}

test('with few targets the owner sends its orders itself', async (t) => {
  const fixture = createFixture(['i1', 'i2'])
  await startOnAll(fixture, 33)
  t.deepEqual([...new Set(fixture.senders)], ['owner'])
})

// Guards against an owner that spends its CPU time on the calls to many targets.
test('with many targets the orders are distributed evenly over the other instances', async (t) => {
  const fixture = createFixture(['i1', 'i2', 'i3', 'i4'])
  await startOnAll(fixture, MANY_TARGETS)
  fixture.senders.length = 0
  await startOnAll(fixture, MANY_TARGETS)
  for (const name of ['i1', 'i2', 'i3', 'i4']) {
    const count = fixture.senders.filter((sender) => sender === name).length
    t.true(count >= 20 && count <= 30, `${name}: ${count}`)
  }
})

test('reports and refusals are returned unchanged by a delegate', async (t) => {
  const fixture = createFixture(['i1'])
  await startOnAll(fixture, MANY_TARGETS)
  const report = await fixture.gateway.fetchReport({ id: 't0', address: 't0:1' }, { fencingToken: 7, acknowledgedEnd: 0, waitMs: 0 })
  t.deepEqual(report.ok ? report.val : undefined, REPORT)
  fixture.error = { code: 'fenced', message: 'a newer owner', targetClockMs: 12 }
  const start = await fixture.gateway.startRun({ id: 't0', address: 't0:1' }, START)
  t.deepEqual(start.err ? start.val : undefined, fixture.error)
  t.is(fixture.senders.at(-1), 'i1')
})

test('an order whose reply is lost counts as unanswered, and the target is reassigned to another instance', async (t) => {
  const fixture = createFixture(['i1', 'i2'])
  await startOnAll(fixture, MANY_TARGETS)
  const target = { id: 't0', address: 't0:1' }
  await fixture.gateway.startRun(target, START)
  const first = fixture.senders.at(-1) ?? ''
  fixture.mesh.unreachable.add(first)
  const lost = await fixture.gateway.startRun(target, START)
  t.is(lost.err ? lost.val.code : undefined, 'noAnswer')
  t.true((await fixture.gateway.startRun(target, START)).ok)
  t.not(fixture.senders.at(-1), first)
})

test('without another instance the owner sends the orders itself', async (t) => {
  const fixture = createFixture([])
  await startOnAll(fixture, MANY_TARGETS)
  t.is(fixture.senders.length, MANY_TARGETS)
})

// Guards against duplicate or lost tasks when a delegate ends while it sends orders.
test('jobs on many targets complete, each task started once, while an instance that sends orders is lost', async (t) => {
  const cell = new FakeJobCell(MANY_TARGETS)
  for (let index = 0; index < 4; index++) cell.addInstance()
  await cell.advanceUntil(() => cell.findOwner() !== undefined, 2_000)
  await cell.clock.advanceBy(300)
  const owner = cell.findOwner()
  const other = cell.instances.find((instance) => instance !== owner)
  if (owner === undefined || other === undefined) return t.fail()
  const job = createJob('aa', [createStep({ taskCount: 200, size: { cpuMillis: 4_000, memoryMb: 1_000, accelerators: 0 } })])
  t.is(await cell.submit(owner, job), 'stored')
  other.powerOff()
  t.true(await cell.advanceUntil(async () => await cell.readState(owner, 'aa') === 'completed', 20_000))
  t.is(new Set(cell.targets.starts.map((start) => start.taskName)).size, 200)
  t.deepEqual(cell.targets.violations, [])
})
