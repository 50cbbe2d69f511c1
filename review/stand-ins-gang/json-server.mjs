// A small HTTP server for JSON on a free loopback port.
import { createServer } from 'node:http'

/** Starts a server. `handle` returns `{ status, body }`, or 'hang' for no response. */
export async function serveJson (handle, port = 0) {
  const sockets = new Set()
  const server = createServer({ keepAliveTimeout: 0, requestTimeout: 0, headersTimeout: 0 }, (request, response) => {
    const chunks = []
    request.on('error', () => {})
    request.on('data', (chunk) => chunks.push(chunk))
    request.on('end', () => {
      const url = new URL(request.url, 'http://stand-in')
      const text = Buffer.concat(chunks).toString('utf8')
      const body = text === '' ? undefined : JSON.parse(text)
      Promise.resolve(handle({ method: request.method, path: url.pathname, query: url.searchParams, headers: request.headers, body }))
        .then((answer) => {
          if (answer === 'hang' || response.destroyed) return
          response.writeHead(answer.status, { 'content-type': 'application/json' })
          response.end(JSON.stringify(answer.body))
        })
        .catch(() => { response.destroy() })
    })
  })
  server.on('connection', (socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
  })
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, '127.0.0.1', resolve)
  })
  const close = () => {
    server.close()
    for (const socket of sockets) socket.destroy()
  }
  return { address: `127.0.0.1:${server.address().port}`, port: server.address().port, close }
}
