import test from 'ava'
import { startApi, type ApiFixture } from './api-fixture.js'
import { readGolden } from './golden-file.js'
import { sendHttp, sendRaw } from './http-exchange.js'

interface Exchange {
  readonly send: readonly [method: string, path: string, body?: unknown, headers?: Readonly<Record<string, string | string[]>>]
  readonly before?: (fixture: ApiFixture) => void
}

const REQUEST = { kind: 'post', customer: 'umoja', payload: { amount: 5 } }

const EXCHANGES: Readonly<Record<string, readonly Exchange[]>> = {
  callers: [
    { send: ['POST', '/v1/requests', REQUEST, { 'Idempotency-Key': 'k-1' }] },
    { send: ['POST', '/v1/requests', { ...REQUEST, team: 'dues', deadlineMs: 500 }] },
    { send: ['POST', '/v1/requests?wait=0', REQUEST] },
    { send: ['POST', '/v1/requests', { ...REQUEST, kind: 'overload' }] },
    { send: ['POST', '/v1/requests', { ...REQUEST, kind: 'expire' }] },
    { send: ['POST', '/v1/requests', { ...REQUEST, kind: 'lose' }] },
    { send: ['POST', '/v1/requests', { ...REQUEST, kind: 'strange' }] },
    { send: ['POST', '/v1/requests', { ...REQUEST, kind: 'reuse' }, { 'Idempotency-Key': 'k-1' }] },
    { send: ['POST', '/v1/requests', { ...REQUEST, kind: 'fail' }] },
    { send: ['POST', '/v1/requests', { ...REQUEST, kind: 'unserializable' }] },
    { send: ['POST', '/v1/requests?wait=20', { ...REQUEST, kind: 'never' }] },
    { send: ['POST', '/v1/requests?wait=20', { ...REQUEST, kind: 'leave' }] },
    { send: ['GET', '/v1/requests/0a-0001'] },
    { send: ['GET', '/v1/requests/0b-0001'] },
    { send: ['GET', '/v1/requests/0c-0001'] },
    { send: ['GET', '/v1/requests/0d-0001'] },
    { send: ['GET', '/v1/requests/0e-0001'] },
    { send: ['DELETE', '/v1/requests/0a-0001'] },
    { send: ['DELETE', '/v1/requests/0d-0001'] },
    { send: ['DELETE', '/v1/requests/0b-0001'] }
  ],
  operators: [
    { send: ['GET', '/v1/tables'] },
    { send: ['PUT', '/v1/tables', { routes: 'r', pools: 'p', expectedRevision: 7, author: 'wanjiru' }] },
    { send: ['PUT', '/v1/tables', { routes: 'r', pools: 'p', expectedRevision: 7, author: 'otieno' }] },
    { send: ['PUT', '/v1/tables', { routes: 'r', pools: 'p', expectedRevision: 3, author: 'achieng' }] },
    { send: ['PUT', '/v1/tables', { routes: 'r', pools: 'p', expectedRevision: 7, author: 'kamau' }] },
    { send: ['PUT', '/v1/tables', { routes: 'r', pools: 'p', expectedRevision: 7, author: 'nobody' }] },
    { send: ['PUT', '/v1/tables', { routes: 1, expectedRevision: -1, author: '', extra: 1 }] },
    { send: ['GET', '/v1/status'] },
    { send: ['GET', '/v1/requests/0a-0001/explanation'] },
    { send: ['GET', '/v1/requests/0b-0001/explanation'] }
  ],
  refusals: [
    { send: ['POST', '/v1/requests'] },
    { send: ['POST', '/v1/requests', '[]'] },
    { send: ['POST', '/v1/requests', 'null'] },
    { send: ['POST', '/v1/requests', '{"kind":'] },
    { send: ['POST', '/v1/requests', `"${'x'.repeat(3_000)}"`] },
    { send: ['POST', '/v1/requests', Buffer.from([0x22, 0xff, 0x22])] },
    { send: ['POST', '/v1/requests', REQUEST, { 'Content-Encoding': 'gzip' }] },
    { send: ['POST', '/v1/requests', REQUEST, { 'Content-Type': 'application/json; charset=utf-16le' }] },
    { send: ['POST', '/v1/requests', REQUEST, { 'Idempotency-Key': ['a', 'b'] }] },
    { send: ['POST', '/v1/requests?wait=soon', { kind: 1, team: null, deadlineMs: 1.5, extra: 0 }, { 'Idempotency-Key': '' }] },
    { send: ['POST', '/v1/requests?wait=1&wait=2', REQUEST] },
    { send: ['GET', '/v1/requests/not-an-id'] },
    { send: ['GET', '/v1/requests/%ff'] },
    { send: ['GET', '/v1/requests'] },
    { send: ['OPTIONS', '/v1/requests', REQUEST, { 'Access-Control-Request-Method': 'POST' }] },
    { send: ['PATCH', '/v1/tables', 'x'.repeat(5_000)] },
    { send: ['GET', '/v1/Tables'] },
    { send: ['POST', '/unknown', '{"kind":'] }
  ],
  probes: [
    { send: ['GET', '/healthz'] },
    { send: ['GET', '/readyz'] },
    { before: ({ tables }) => { tables.tables = undefined }, send: ['GET', '/readyz'] },
    { send: ['GET', '/v1/tables'] },
    { send: ['POST', '/v1/requests', REQUEST] },
    { before: ({ context }) => { context.lifeCycle.applyEvent('drain') }, send: ['GET', '/readyz'] },
    { before: ({ context }) => { context.lifeCycle.refuseRequests() }, send: ['POST', '/v1/requests', REQUEST] },
    { send: ['GET', '/v1/requests/0a-0001'] },
    { send: ['GET', '/healthz'] }
  ]
}

const RECORDED_HEADERS = ['content-type', 'retry-after', 'allow', 'connection']

async function runExchange (fixture: ApiFixture, exchange: Exchange): Promise<string> {
  exchange.before?.(fixture)
  const [method, path, body, headers] = exchange.send
  const bytes = body === undefined || typeof body === 'string' || Buffer.isBuffer(body) ? body : JSON.stringify(body)
  const response = await sendHttp(fixture.port, method, path, bytes, { connection: 'keep-alive', ...headers })
  const recordedBody = bytes === undefined || bytes.length > 200 ? `(${bytes?.length ?? 0} bytes)` : bytes.toString('latin1')
  const recordedHeaders = RECORDED_HEADERS.flatMap((name) => response.headers[name] === undefined ? [] : [`< ${name}: ${response.headers[name]}`])
  return [
    `> ${method} ${path}`, ...Object.entries(headers ?? {}).map(([name, value]) => `> ${name}: ${value}`), recordedBody,
    `< ${response.status}`, ...recordedHeaders, response.text, ''
  ].join('\n')
}

for (const [name, exchanges] of Object.entries(EXCHANGES)) {
  test(`the responses to the exchanges "${name}" match their golden file`, async (t) => {
    const fixture = await startApi()
    const lines: string[] = []
    for (const exchange of exchanges) lines.push(await runExchange(fixture, exchange))
    await fixture.api.stop()
    const actual = lines.join('\n')
    t.is(actual, readGolden(`${name}.txt`, actual))
  })
}

const RAW_REQUESTS = {
  notHttp: 'hello\r\n\r\n',
  headerOverflow: `GET /healthz HTTP/1.1\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`,
  truncatedBody: 'POST /v1/requests HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\n{"kind":"post"',
  brokenChunk: 'POST /v1/requests HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
  twoLengths: 'POST /v1/requests HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}',
  expectation: 'POST /v1/requests HTTP/1.1\r\nHost: a\r\nExpect: miracle\r\nContent-Length: 0\r\n\r\n',
  connect: 'CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n'
} as const

test('the responses to malformed or incomplete HTTP requests match their golden file', async (t) => {
  const fixture = await startApi()
  const lines: string[] = []
  for (const [name, bytes] of Object.entries(RAW_REQUESTS)) {
    const response = await sendRaw(fixture.port, Buffer.from(bytes))
    lines.push(`# ${name}`, response.replaceAll(/^(?:Date|Keep-Alive): .*\r\n/gm, '').replaceAll('\r\n', '\n'), '')
  }
  await fixture.api.stop()
  const actual = lines.join('\n')
  t.is(actual, readGolden('raw.txt', actual))
})

test('an error response to malformed pipelined bytes is never sent as the response to the pending request', async (t) => {
  const fixture = await startApi()
  const body = JSON.stringify({ kind: 'hold', customer: 'umoja', payload: 1 })
  const first = `POST /v1/requests HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n${body}`
  t.is(await sendRaw(fixture.port, Buffer.from(`${first}POST /v1/requests HTTP/1.1\r\nContent-Length: x\r\n\r\n`)), '')
  for (const held of fixture.gateway.held) held.settle()
  await fixture.api.stop()
})
