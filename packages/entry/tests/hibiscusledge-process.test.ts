import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import test from 'ava'
import type { Drainer } from '../src/drainer.js'
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

function createProcessFixture (
  context: TestApiContext, overrides: Partial<ProcessOptions> = {}, drainerOverrides: Partial<Drainer> = {}
): ProcessFixture {
  const clock = new FakeClock()
  const exits: number[] = []
  const steps: string[] = []
  const instance = new HibiscusledgeProcess({
    settings: { drainGraceMs: 1_000, drainTimeoutMs: 5_000 },
    lifeCycle: context.lifeCycle,
    pendingCallers: context.pendingCallers,
    api: { start: async () => 0, stop: async () => { steps.push('api.stop') } },
    startInstance: async () => {},
    gateway: context.gateway,
    tables: context.tables,
    drainer: {
      handOver: async () => { steps.push(`handOver refusing=${String(context.lifeCycle.isRefusing())}`) },
      close: async () => { steps.push('close') },
      ...drainerOverrides
    },
    clock,
    logger: context.logger,
    closeTelemetry: async () => { steps.push('closeTelemetry') },
    exit: (code) => { exits.push(code) },
    ...overrides
  })
  return { instance, clock, exits, steps, context }
}

function findEvent (context: TestApiContext, name: string): Readonly<Record<string, unknown>> | undefined {
  return context.logger.events.find(({ event }) => event === name)?.fields
}

test('an instance without tables stays in the state joining until the first revision arrives', async (t) => {
  const context = createApiContext()
  const tables = context.tables.tables
  context.tables.tables = undefined
  const { instance } = createProcessFixture(context)
  await instance.start()
  t.is(context.lifeCycle.readState(), 'joining')
  if (tables !== undefined) context.tables.publishTables(tables)
  t.is(context.lifeCycle.readState(), 'serving')
})

test('an instance that can\'t listen logs the error and exits with 69', async (t) => {
  const context = createApiContext()
  const { instance, exits } = createProcessFixture(context, { api: { start: async () => { throw new Error('in use') }, stop: async () => {} } })
  await instance.start()
  t.deepEqual(exits, [69])
  t.true(findEvent(context, 'process.startFailed')?.['error'] instanceof Error)
})

test('a drain accepts requests in the grace period, then refuses them, hands over, waits for every caller, closes and exits with 0', async (t) => {
  const context = createApiContext()
  const { instance, clock, exits, steps } = createProcessFixture(context)
  await instance.start()
  const endCaller = context.pendingCallers.addCaller()
  context.gateway.pendingCount = 1
  const ended = instance.onTerminate()
  t.is(context.lifeCycle.readState(), 'draining')
  await clock.advanceBy(999)
  t.false(context.lifeCycle.isRefusing())
  await clock.advanceBy(1)
  t.deepEqual(steps, ['handOver refusing=true'])
  endCaller()
  await clock.advanceBy(200)
  t.deepEqual(exits, [], 'the gateway still has a pending request')
  context.gateway.pendingCount = 0
  await clock.advanceBy(50)
  await ended
  t.deepEqual(steps, ['handOver refusing=true', 'api.stop', 'close', 'closeTelemetry'])
  t.deepEqual(exits, [0])
})

test('a drain with a failed hand-over and a caller that never gets a response ends at its timeout', async (t) => {
  const context = createApiContext()
  const handOver = async (): Promise<void> => { throw new Error('no successor') }
  const { instance, clock, exits } = createProcessFixture(context, {}, { handOver })
  await instance.start()
  context.pendingCallers.addCaller()
  const ended = instance.onTerminate()
  await clock.advanceBy(5_999)
  t.deepEqual(exits, [])
  await clock.advanceBy(1)
  await ended
  t.deepEqual(exits, [0])
  t.deepEqual(findEvent(context, 'drain.timedOut'), { cutOffCallers: 1 })
  t.truthy(findEvent(context, 'drain.handOverFailed'))
})

test('a component that never closes doesn\'t keep the process from exiting', async (t) => {
  const { instance, clock, exits } = createProcessFixture(createApiContext(), {}, { close: async () => { await new Promise(() => {}) } })
  await instance.start()
  const ended = instance.onTerminate()
  await clock.advanceBy(3_000)
  await ended
  t.deepEqual(exits, [0])
})

test('a second SIGTERM exits immediately with 1 and logs how many callers were cut off', async (t) => {
  const context = createApiContext()
  const { instance, exits } = createProcessFixture(context)
  await instance.start()
  context.pendingCallers.addCaller()
  context.pendingCallers.addCaller()
  instance.onTerminate().catch(() => {})
  await instance.onTerminate()
  t.deepEqual(exits, [1])
  t.deepEqual(findEvent(context, 'process.terminatedAtOnce'), { cutOffCallers: 2 })
})

test('an uncaught error is logged and exits with 70', async (t) => {
  const context = createApiContext()
  const { instance, exits } = createProcessFixture(context)
  await instance.start()
  instance.onUncaughtError('unhandledRejection', new Error('lost'))
  t.deepEqual(exits, [70])
  t.like(findEvent(context, 'process.internalFault'), { origin: 'unhandledRejection', cutOffCallers: 0 })
})

test('a drain cuts off no request: those in flight or from the grace period get their outcome, later ones get notRun', async (t) => {
  const { api, gateway, context, port } = await startApi()
  const { instance, clock, exits } = createProcessFixture(context as TestApiContext, {
    api: { start: async () => 0, stop: () => api.stop() }
  })
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
  const responses = await Promise.all([...early, late])
  t.true(responses.every(({ status }) => status === 200))
  await waitUntil(() => context.pendingCallers.readCount() === 0)
  await ended
  t.deepEqual(exits, [0])
})
