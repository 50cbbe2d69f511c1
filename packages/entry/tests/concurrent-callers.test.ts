import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import test from 'ava'
import { connect } from 'node:net'
import { startApi } from './api-fixture.js'
import { submitRequest, waitUntil } from './http-exchange.js'

const CALLERS = 200
const SEED = 20_261_204

test('each of many concurrent callers gets its own complete response when outcomes arrive late and out of order', async (t) => {
  const { api, gateway, port } = await startApi()
  const random = new SeededRandomSource(SEED)
  const responses = Array.from({ length: CALLERS }, async (_, caller) => {
    const answer = await submitRequest(port, { kind: 'hold', customer: `customer-${caller}`, payload: { caller, filler: 'x'.repeat(random.drawInteger(900)) } })
    return { caller, answer }
  })
  await waitUntil(() => gateway.held.length === CALLERS)
  const pending = [...gateway.held]
  while (pending.length > 0) {
    const [next] = pending.splice(random.drawInteger(pending.length), 1)
    next?.settle()
    if (random.drawInteger(4) === 0) await new Promise<void>((resolve) => { setImmediate(resolve) })
  }
  for (const { caller, answer } of await Promise.all(responses)) {
    const body = JSON.parse(answer.text) as { requestId: string, result: { echo: unknown } }
    const held = gateway.held.find(({ submission }) => submission.customer === `customer-${caller}`)
    t.deepEqual([answer.status, body.requestId, body.result.echo], [200, held?.requestId, held?.submission.payload])
  }
  await api.stop()
})

test('a caller that disconnects aborts its own request and no other one', async (t) => {
  const { api, gateway, context, port } = await startApi()
  const stayingResponse = submitRequest(port, { kind: 'hold', customer: 'stays' })
  await waitUntil(() => gateway.held.length === 1)
  const body = JSON.stringify({ kind: 'hold', customer: 'leaves', payload: 1 })
  const socket = connect(port, '127.0.0.1')
  socket.write(`POST /v1/requests HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n${body}`)
  await waitUntil(() => gateway.held.length === 2)
  socket.destroy()
  const disconnected = gateway.held[1]
  await waitUntil(() => disconnected?.signal.aborted === true)
  t.false(gateway.held[0]?.signal.aborted)
  await waitUntil(() => context.pendingCallers.readCount() === 1)
  for (const held of gateway.held) held.settle()
  t.is((await stayingResponse).status, 200)
  await waitUntil(() => context.pendingCallers.readCount() === 0)
  t.false(gateway.held[0]?.signal.aborted)
  await api.stop()
})
