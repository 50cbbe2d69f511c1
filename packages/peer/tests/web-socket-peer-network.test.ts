import { createServer, connect, type Server, type Socket } from 'node:net'
import { SilentEventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { toIncarnation, toInstanceId } from '@hibiscusledge/runtime/identifiers.js'
import { SilentMetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import { SystemClock } from '@hibiscusledge/runtime/system-clock.js'
import test, { type ExecutionContext } from 'ava'
import { Packr } from 'msgpackr'
import { WebSocket } from 'ws'
import { DEFAULT_PEER_TIMINGS, type PeerTimings } from '../src/peer-timings.js'
import { WebSocketPeerNetwork } from '../src/web-socket-peer-network.js'

const WAIT_TIMEOUT_MS = 15_000
const packr = new Packr({ useRecords: false })

/** The heartbeat period equals the pause threshold. */
const RARE_HEARTBEATS: PeerTimings = { ...DEFAULT_PEER_TIMINGS, heartbeatPeriodMs: 400, pauseThresholdMs: 400, linkIdleTimeoutMs: 1_000 }

interface Running { readonly network: WebSocketPeerNetwork, readonly address: string }

async function startNetwork (
  t: ExecutionContext, name: string, seeds: readonly string[] = [], run = 'a', timings = DEFAULT_PEER_TIMINGS
): Promise<Running> {
  const network = new WebSocketPeerNetwork({
    self: { instance: toInstanceId(name), incarnation: toIncarnation(run) },
    ...{ startedAtMs: run.charCodeAt(0), listenHost: '127.0.0.1', listenPort: 0, seedAddresses: seeds, timings },
    ...{ clock: new SystemClock(), random: new SeededRandomSource(7), logger: new SilentEventLogger(), metrics: new SilentMetricSink() }
  })
  network.registerHandler('heartbeat', async () => undefined)
  network.registerHandler('echo', async (body, from, trace) => ({ body, from, trace }))
  const port = await network.start()
  t.teardown(async () => await network.stop())
  return { network, address: `127.0.0.1:${port}` }
}

async function waitFor (condition: () => boolean): Promise<boolean> {
  const deadlineMs = performance.now() + WAIT_TIMEOUT_MS
  while (performance.now() < deadlineMs) {
    if (condition()) return true
    await new Promise((resolve) => { setTimeout(resolve, 20) })
  }
  return false
}

function isLinked (from: Running, name: string, run = 'a'): boolean {
  return from.network.listConnected().some(({ instance, incarnation }) => instance === name && incarnation === run)
}

async function startPair (t: ExecutionContext): Promise<[Running, Running]> {
  const left = await startNetwork(t, 'left')
  const right = await startNetwork(t, 'right', [left.address])
  t.true(await waitFor(() => isLinked(left, 'right') && isLinked(right, 'left')))
  return [left, right]
}

/** Forwards bytes to a network until `stall` is called, like a path that stops delivering without closing connections. */
interface Proxy { readonly address: string, readonly stall: () => void, readonly connectionCount: () => number }

async function startProxy (t: ExecutionContext, destination: string): Promise<Proxy> {
  const sockets: Socket[] = []
  const server: Server = createServer((socket) => {
    const upstream = connect(Number(destination.split(':')[1]), '127.0.0.1')
    for (const end of [socket, upstream]) end.on('error', () => {})
    sockets.push(socket, upstream)
    socket.pipe(upstream).pipe(socket)
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })
  const address = server.address()
  return {
    address: `127.0.0.1:${typeof address === 'object' ? address?.port : ''}`,
    stall: () => { for (const socket of sockets) socket.unpipe().pause() },
    connectionCount: () => sockets.length / 2
  }
}

test('a request over a link and one to the same instance get the same reply, with the trace and without shared objects', async (t) => {
  const [left, right] = await startPair(t)
  const trace = { traceId: 'a'.repeat(32), spanId: 'b'.repeat(16), isSampled: true }
  const body = { text: 'x', bytes: Buffer.from([1, 2]), list: [1, null] }
  for (const [from, to] of [[left, 'right'], [left, 'left'], [right, 'left']] as const) {
    const reply = await from.network.sendRequest(toInstanceId(to), 'echo', body, 2_000, trace)
    t.deepEqual(reply.unwrap(), { body, from: from.network.self, trace })
    t.not((reply.unwrap() as { body: object }).body, body)
  }
})

test('unknown kinds, failing handlers, missing replies and oversized messages give typed errors', async (t) => {
  const [left, right] = await startPair(t)
  const large = Buffer.alloc(1_048_576)
  right.network.registerHandler('fail', async () => { throw new Error('planned') })
  right.network.registerHandler('hang', async () => await new Promise(() => {}))
  right.network.registerHandler('large', async () => large)
  const to = toInstanceId('right')
  const cases = [
    ['nothing', 1, 'unknownKind'], ['fail', 1, 'handlerFailed'], ['hang', 1, 'timeout'], ['echo', large, 'tooLarge'], ['large', 1, 'tooLarge']
  ] as const
  for (const [kind, body, code] of cases) {
    const reply = await left.network.sendRequest(to, kind, body, 500)
    t.is(reply.err && reply.val.code, code, kind)
  }
  const absent = await left.network.sendRequest(toInstanceId('absent'), 'echo', 1, 500)
  t.is(absent.err && absent.val.code, 'notConnected')
  t.false(left.network.sendNotification(toInstanceId('absent'), 'echo', 1))
  t.true(isLinked(left, 'right'))
})

test('malformed frames close their connection with a close code and do not affect other links', async (t) => {
  const [left, right] = await startPair(t)
  const hello = { v: 1, kind: 'hello', body: { instance: 'mallory', incarnation: 'm', protocol: 1, startedAt: 1 }, extra: true }
  const cases: [string, (Uint8Array | string)[], number][] = [
    ['random bytes', [Buffer.from([0xc1, 0xff, 0x00])], 4_000],
    ['text', ['hello'], 4_000],
    ['no hello', [packr.pack({ v: 1, kind: 'echo', body: 1 })], 4_000],
    ['other frame version', [packr.pack({ ...hello, v: 2 })], 4_000],
    ['other protocol', [packr.pack({ ...hello, body: { ...hello.body, protocol: 9 } })], 4_001],
    ['bad field after hello', [packr.pack(hello), packr.pack({ v: 1, kind: 'echo', id: 'one', body: 1 })], 4_000],
    ['over the limit', [packr.pack(hello), Buffer.alloc(1_100_000)], 1_009]
  ]
  for (const [title, frames, expected] of cases) {
    const socket = new WebSocket(`ws://${right.address}`)
    const code = await new Promise((resolve) => {
      socket.on('open', () => { for (const frame of frames) socket.send(frame) })
      socket.on('close', resolve)
      socket.on('error', () => {})
    })
    t.is(code, expected, title)
  }
  t.is((await left.network.sendRequest(toInstanceId('right'), 'echo', 1, 2_000)).ok, true)
})

test('two instances that connect to each other at the same time keep one link', async (t) => {
  const left = await startNetwork(t, 'left')
  const right = await startNetwork(t, 'right')
  left.network.setAddresses(new Map([[toInstanceId('right'), right.address]]))
  right.network.setAddresses(new Map([[toInstanceId('left'), left.address]]))
  t.true(await waitFor(() => isLinked(left, 'right') && isLinked(right, 'left')))
  t.is((await left.network.sendRequest(toInstanceId('right'), 'echo', 1, 2_000)).ok, true)
  t.is(left.network.listConnected().length, 1)
})

// The second case guards against taking each heartbeat interval for a pause, which would reset the idle time of every link.
for (const [title, timings] of [['', DEFAULT_PEER_TIMINGS], [', also with a long heartbeat period', RARE_HEARTBEATS]] as const) {
  test(`a link that stops delivering without closing fails its requests and is replaced by a new one${title}`, async (t) => {
    const left = await startNetwork(t, 'left', [], 'a', timings)
    const proxy = await startProxy(t, left.address)
    const right = await startNetwork(t, 'right', [proxy.address], 'a', timings)
    t.true(await waitFor(() => isLinked(left, 'right') && isLinked(right, 'left')))
    proxy.stall()
    const lost = await right.network.sendRequest(toInstanceId('left'), 'echo', 1, WAIT_TIMEOUT_MS)
    t.is(lost.err && lost.val.code, 'closed')
    t.true(await waitFor(() => isLinked(right, 'left') && proxy.connectionCount() >= 2))
    t.is((await right.network.sendRequest(toInstanceId('left'), 'echo', 2, 2_000)).ok, true)
  })
}

test('the link of a restarted peer replaces that of its earlier incarnation, which cannot reconnect', async (t) => {
  const left = await startNetwork(t, 'left')
  const earlier = await startNetwork(t, 'right', [left.address], 'a')
  t.true(await waitFor(() => isLinked(left, 'right', 'a')))
  const later = await startNetwork(t, 'right', [left.address], 'b')
  t.true(await waitFor(() => isLinked(left, 'right', 'b') && isLinked(later, 'left')))
  t.true(await waitFor(() => !isLinked(earlier, 'left')))
  t.true(isLinked(left, 'right', 'b'))
  t.is((await later.network.sendRequest(toInstanceId('left'), 'echo', 1, 2_000)).ok, true)
})
