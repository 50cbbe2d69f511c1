import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import test from 'ava'
import type { Drainable } from '../src/drainable.js'
import { HibiscusledgeProcess } from '../src/hibiscusledge-process.js'
import type { ProcessOptions } from '../src/process-options.js'
import { createApiContext, startApi } from './api-fixture.js'
import { sendHttp, submitRequest, waitUntil } from './http-exchange.js'

type TestApiContext = ReturnType<typeof createApiContext>

interface ProcessFixture {
  readonly instance: HibiscusledgeProcess
  readonly clock: FakeClock
  readonly exits: number[]
  readonly steps: string[]
  readonly context: TestApiContext
}

function createProcessFixture (parts: TestApiContext, changes: Partial<ProcessOptions> = {}, drain: Partial<Drainable> = {}): ProcessFixture {
  const clock = new FakeClock()
  const exits: number[] = []
  const steps: string[] = []
  const instance = new HibiscusledgeProcess({
    settings: { drainGraceMs: 1_000, drainTimeoutMs: 5_000 },
    lifeCycle: parts.lifeCycle,
    pendingCallers: parts.pendingCallers,
    api: { start: async () => 0, stop: async () => { steps.push('api.stop') } },
    startInstance: async () => {},
    gateway: parts.gateway,
    tables: parts.tables,
    drainable: {
      handOver: async () => { steps.push(`handOver refusing=${String(parts.lifeCycle.isRefusing())}`) },
      close: async () => { steps.push('close') },
      ...drain
    },
    clock,
    logger: parts.logger,
    closeTelemetry: async () => { steps.push('closeTelemetry') },
    exit: (code) => { exits.push(code) },
    ...changes
  })
  return { instance, clock, exits, steps, context: parts }
}

function findEvent (parts: TestApiContext, name: string): Readonly<Record<string, unknown>> | undefined {
  return parts.logger.events.find(({ event }) => event === name)?.fields
}

test('an instance without tables joins only when the first revision arrives', async (t) => {
  const parts = createApiContext()
  const tables = parts.tables.tables
  parts.tables.tables = undefined
  const { instance } = createProcessFixture(parts)
  await instance.start()
  t.is(parts.lifeCycle.readState(), 'joining')
  if (tables !== undefined) parts.tables.publishTables(tables)
  t.is(parts.lifeCycle.readState(), 'serving')
})

test('an instance that can\'t listen ends with code 69 and says why', async (t) => {
  const parts = createApiContext()
  const { instance, exits } = createProcessFixture(parts, { api: { start: async () => { throw new Error('in use') }, stop: async () => {} } })
  await instance.start()
  t.deepEqual(exits, [69])
  t.true(findEvent(parts, 'process.startFailed')?.['error'] instanceof Error)
})

test('a drain accepts during the grace, refuses, hands over, waits for every caller, closes and exits with 0', async (t) => {
  const parts = createApiContext()
  const { instance, clock, exits, steps } = createProcessFixture(parts)
  await instance.start()
  const endCaller = parts.pendingCallers.addCaller()
  parts.gateway.pendingCount = 1
  const ended = instance.onTerminate()
  t.is(parts.lifeCycle.readState(), 'draining')
  await clock.advanceBy(999)
  t.false(parts.lifeCycle.isRefusing())
  await clock.advanceBy(1)
  t.deepEqual(steps, ['handOver refusing=true'])
  endCaller()
  await clock.advanceBy(200)
  t.deepEqual(exits, [], 'the gateway still owes an answer')
  parts.gateway.pendingCount = 0
  await clock.advanceBy(50)
  await ended
  t.deepEqual(steps, ['handOver refusing=true', 'api.stop', 'close', 'closeTelemetry'])
  t.deepEqual(exits, [0])
})

test('a hand-over that fails or a caller that never gets an answer ends the drain at its timeout', async (t) => {
  const parts = createApiContext()
  const handOver = async (): Promise<void> => { throw new Error('no successor') }
  const { instance, clock, exits } = createProcessFixture(parts, {}, { handOver })
  await instance.start()
  parts.pendingCallers.addCaller()
  const ended = instance.onTerminate()
  await clock.advanceBy(5_999)
  t.deepEqual(exits, [])
  await clock.advanceBy(1)
  await ended
  t.deepEqual(exits, [0])
  t.deepEqual(findEvent(parts, 'drain.timedOut'), { cutOffCallers: 1 })
  t.truthy(findEvent(parts, 'drain.handOverFailed'))
})

test('a part that never closes doesn\'t hold up the end', async (t) => {
  const { instance, clock, exits } = createProcessFixture(createApiContext(), {}, { close: async () => { await new Promise(() => {}) } })
  await instance.start()
  const ended = instance.onTerminate()
  await clock.advanceBy(3_000)
  await ended
  t.deepEqual(exits, [0])
})

test('a second SIGTERM exits at once with 1 and says how many callers were cut off', async (t) => {
  const parts = createApiContext()
  const { instance, exits } = createProcessFixture(parts)
  await instance.start()
  parts.pendingCallers.addCaller()
  parts.pendingCallers.addCaller()
  instance.onTerminate().catch(() => {})
  await instance.onTerminate()
  t.deepEqual(exits, [1])
  t.deepEqual(findEvent(parts, 'process.terminatedAtOnce'), { cutOffCallers: 2 })
})

test('an uncaught fault is logged and ends the process with 70', async (t) => {
  const parts = createApiContext()
  const { instance, exits } = createProcessFixture(parts)
  await instance.start()
  instance.onUncaughtError('unhandledRejection', new Error('lost'))
  t.deepEqual(exits, [70])
  t.like(findEvent(parts, 'process.internalFault'), { origin: 'unhandledRejection', cutOffCallers: 0 })
})

test('a drain cuts off no request: those in flight and those of the grace are answered, later ones are truthfully notRun', async (t) => {
  const { api, gateway, context: parts, port } = await startApi()
  const { instance, clock, exits } = createProcessFixture(parts as TestApiContext, { api: { start: async () => 0, stop: () => api.stop() } })
  const early = Array.from({ length: 20 }, async (_, index) => await submitRequest(port, { kind: 'hold', payload: index }))
  await waitUntil(() => gateway.held.length === 20)
  const ended = instance.onTerminate()
  t.is((await sendHttp(port, 'GET', '/readyz')).status, 503)
  const late = submitRequest(port, { kind: 'hold', payload: 'late' })
  await waitUntil(() => gateway.held.length === 21)
  await clock.advanceBy(1_000)
  const refused = await submitRequest(port, { kind: 'hold', payload: 'refused' })
  t.deepEqual([refused.status, (JSON.parse(refused.text) as { outcome: string }).outcome], [503, 'notRun'])
  t.is(gateway.submissions.length, 21, 'a refused request never reaches the gateway')
  t.deepEqual(exits, [])
  for (const held of [...gateway.held].reverse()) held.settle()
  const answers = await Promise.all([...early, late])
  t.true(answers.every(({ status }) => status === 200))
  await waitUntil(() => parts.pendingCallers.readCount() === 0)
  await ended
  t.deepEqual(exits, [0])
})
