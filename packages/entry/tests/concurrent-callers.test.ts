import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import test from 'ava'
import { connect } from 'node:net'
import { startApi } from './api-fixture.js'
import { submitRequest, waitUntil } from './http-exchange.js'

const CALLERS = 200
const SEED = 20_261_204

test('each of many concurrent callers gets its own whole answer when answers come late and out of order', async (t) => {
  const { api, gateway, port } = await startApi()
  const random = new SeededRandomSource(SEED)
  const answers = Array.from({ length: CALLERS }, async (_, caller) => {
    const answer = await submitRequest(port, { kind: 'hold', customer: `customer-${caller}`, payload: { caller, filler: 'x'.repeat(random.drawInteger(900)) } })
    return { caller, answer }
  })
  await waitUntil(() => gateway.held.length === CALLERS)
  const waiting = [...gateway.held]
  while (waiting.length > 0) {
    const [next] = waiting.splice(random.drawInteger(waiting.length), 1)
    next?.settle()
    if (random.drawInteger(4) === 0) await new Promise<void>((resolve) => { setImmediate(resolve) })
  }
  for (const { caller, answer } of await Promise.all(answers)) {
    const body = JSON.parse(answer.text) as { requestId: string, result: { echo: unknown } }
    const held = gateway.held.find(({ submission }) => submission.customer === `customer-${caller}`)
    t.deepEqual([answer.status, body.requestId, body.result.echo], [200, held?.requestId, held?.submission.payload])
  }
  await api.stop()
})

test('a caller that disconnects aborts its own request and no other', async (t) => {
  const { api, gateway, context: parts, port } = await startApi()
  const staying = submitRequest(port, { kind: 'hold', customer: 'stays' })
  await waitUntil(() => gateway.held.length === 1)
  const body = JSON.stringify({ kind: 'hold', customer: 'leaves', payload: 1 })
  const socket = connect(port, '127.0.0.1')
  socket.write(`POST /v1/requests HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n${body}`)
  await waitUntil(() => gateway.held.length === 2)
  socket.destroy()
  const left = gateway.held[1]
  await waitUntil(() => left?.signal.aborted === true)
  t.false(gateway.held[0]?.signal.aborted)
  await waitUntil(() => parts.pendingCallers.readCount() === 1)
  for (const held of gateway.held) held.settle()
  t.is((await staying).status, 200)
  await waitUntil(() => parts.pendingCallers.readCount() === 0)
  t.false(gateway.held[0]?.signal.aborted)
  await api.stop()
})
