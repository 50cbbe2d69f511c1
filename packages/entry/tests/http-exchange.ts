import { request, type IncomingHttpHeaders } from 'node:http'
import { connect } from 'node:net'

export interface HttpResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly text: string
}

/** Sends one request on its own connection. */
export async function sendHttp (
  port: number, method: string, path: string, body?: string | Buffer, headers: Readonly<Record<string, string | string[]>> = {}
): Promise<HttpResponse> {
  // Set for every method: Node.js sends the body of OPTIONS or DELETE without a length otherwise.
  const length = body === undefined ? {} : { 'Content-Length': Buffer.byteLength(body) }
  return await new Promise((resolve, reject) => {
    const outgoing = request({ host: '127.0.0.1', port, method, path, headers: { ...length, ...headers }, agent: false }, (response) => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => chunks.push(chunk))
      response.on('error', reject)
      response.on('end', () => resolve({
        status: response.statusCode ?? 0, headers: response.headers, text: Buffer.concat(chunks).toString()
      }))
    })
    outgoing.on('error', reject)
    outgoing.end(body)
  })
}

export async function submitRequest (port: number, fields: object, headers: Readonly<Record<string, string>> = {}): Promise<HttpResponse> {
  return await sendHttp(port, 'POST', '/v1/requests', JSON.stringify({ kind: 'post', customer: 'umoja', payload: 1, ...fields }), headers)
}

/** Writes raw bytes, closes the sending side and returns everything that comes back until the connection ends. */
export async function sendRaw (port: number, bytes: Buffer): Promise<string> {
  return await new Promise((resolve) => {
    const chunks: Buffer[] = []
    const socket = connect({ host: '127.0.0.1', port, allowHalfOpen: true })
    socket.on('data', (chunk: Buffer) => chunks.push(chunk))
    // A reset after the answer is as good an end as any: the server closes connections that sent it no HTTP.
    socket.on('error', () => {})
    socket.on('close', () => resolve(Buffer.concat(chunks).toString('latin1')))
    socket.on('end', () => socket.end())
    socket.write(bytes)
    socket.end()
  })
}

/** Waits until `condition` holds; the bound only ends a test that would never finish. */
export async function waitUntil (condition: () => boolean): Promise<void> {
  for (let turn = 0; turn < 3_000; turn++) {
    if (condition()) return
    await new Promise<void>((resolve) => { setTimeout(resolve, 10) })
  }
  throw new Error('the condition did not come true within 30 s')
}
