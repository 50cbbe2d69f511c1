import test from 'ava'
import fc from 'fast-check'
import { startApi } from './api-fixture.js'
import { sendRaw, submitRequest } from './http-exchange.js'

const SEED = 42
const RUNS = 400

const KINDS = ['post', 'overload', 'expire', 'lose', 'strange', 'reuse', 'fail']
const METHODS = ['GET', 'POST', 'PUT', 'DELETE', 'OPTIONS', 'TRACE', 'BREW', 'post']
const PATHS = ['/v1/requests', '/v1/requests?wait=0', '/v1/requests?wait=-1', '/v1/requests/0a-1', '/v1/tables', '/v1/status', '/%', '//', '*', '/v1/../v1/status', '/v1/requests?a[b][c]=1&__proto__[x]=1']
const HEADERS = ['Idempotency-Key: k', 'Idempotency-Key: \x07', 'Content-Length: 5', 'Content-Length: -1', 'Transfer-Encoding: chunked', 'Content-Encoding: br', 'Content-Type: text/xml; charset=', 'Expect: 100-continue', 'Expect: x', 'Upgrade: h2c', 'Connection: upgrade', 'traceparent: 00-0-0-0', 'X-Request-ID: \xe9', ': empty', 'no colon', `X: ${'y'.repeat(17_000)}`]

const body = fc.oneof(
  fc.record({ kind: fc.constantFrom(...KINDS), customer: fc.constant('umoja'), payload: fc.constant(0), deadlineMs: fc.constant(5) }, { requiredKeys: ['kind', 'payload'] })
    .map((value) => JSON.stringify(value)),
  fc.record({ kind: fc.constantFrom(...KINDS), customer: fc.constant('umoja'), payload: fc.jsonValue() }).map((value) => JSON.stringify(value)),
  fc.json(),
  fc.string({ unit: 'binary', maxLength: 60 }),
  fc.constant(JSON.stringify({ kind: 'post', customer: 'umoja', payload: 'x'.repeat(4_000) })),
  fc.constant('['.repeat(1_900))
)

const bytes = fc.record({
  method: fc.constantFrom(...METHODS),
  path: fc.constantFrom(...PATHS),
  headers: fc.array(fc.constantFrom(...HEADERS), { maxLength: 2 }),
  body,
  hasLength: fc.boolean(),
  cutBytes: fc.oneof(fc.constant(0), fc.integer({ min: 1, max: 40 }))
}).map(({ method, path, headers, body: text, hasLength, cutBytes }) => {
  const content = Buffer.from(text)
  const length = hasLength ? [`Content-Length: ${content.length}`] : []
  const head = Buffer.from([`${method} ${path} HTTP/1.1`, 'Host: a', ...length, ...headers, '', ''].join('\r\n'), 'latin1')
  const whole = Buffer.concat([head, content])
  return whole.subarray(0, whole.length - cutBytes)
})

/** Splits the raw bytes of one connection into responses; 100 Continue is skipped, since it has no body. */
function parseResponses (text: string): { status: number, contentType: string, body: string }[] {
  const responses = []
  for (let rest = text.replaceAll('HTTP/1.1 100 Continue\r\n\r\n', ''); rest !== '';) {
    const headEnd = rest.indexOf('\r\n\r\n') + 4
    const head = rest.slice(0, headEnd)
    const length = Number(/content-length: (\d+)/i.exec(head)?.[1])
    responses.push({
      status: Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1]), contentType: /content-type: (.*)\r/i.exec(head)?.[1] ?? '', body: rest.slice(headEnd, headEnd + length)
    })
    rest = rest.slice(headEnd + length)
  }
  return responses
}

test('arbitrary bytes get typed JSON responses, don\'t affect the responses to other callers and don\'t crash the instance', async (t) => {
  const { api, port } = await startApi()
  let run = 0
  await fc.assert(fc.asyncProperty(bytes, async (sent) => {
    const caller = `caller-${run++}`
    const [raw, own] = await Promise.all([sendRaw(port, sent), submitRequest(port, { payload: caller })])
    const { result } = JSON.parse(own.text) as { result?: { echo?: unknown } }
    if (own.status !== 200 || result?.echo !== caller) throw new Error(`another caller got ${own.status} ${own.text}`)
    if (raw.includes('caller-')) throw new Error('the response contains a payload of another caller')
    for (const response of parseResponses(raw)) {
      const parsed = JSON.parse(response.body) as Record<string, unknown>
      const isTyped = ['code', 'findings', 'outcome'].some((field) => field in parsed) || response.status === 200
      if (response.contentType !== 'application/json' || !isTyped) throw new Error(`untyped response ${JSON.stringify(response)}`)
      if (response.status === 500) throw new Error('the sent bytes caused an internal error')
    }
  }), { seed: SEED, numRuns: RUNS })
  await api.stop()
  t.is(run, RUNS)
})
