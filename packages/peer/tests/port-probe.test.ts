import { createServer, type AddressInfo } from 'node:net'
import test from 'ava'
import { TcpPortProbe } from '../src/port-probe.js'

test('a port with a listener accepts the connection, and refuses it once the listener is closed', async (t) => {
  const server = createServer((socket) => { socket.destroy() })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const probe = new TcpPortProbe()
  t.false(await probe.isConnectionRefused(address, 1_000))
  await new Promise<void>((resolve) => { server.close(() => resolve()) })
  t.true(await probe.isConnectionRefused(address, 1_000))
})

test('a port that no process can have counts as not refused', async (t) => {
  const probe = new TcpPortProbe()
  for (const address of ['127.0.0.1:70000', '127.0.0.1:0', '127.0.0.1:-1', '127.0.0.1:x', '']) t.false(await probe.isConnectionRefused(address, 100), address)
})
