import { request, type IncomingHttpHeaders } from 'node:http'
import { connect } from 'node:net'

export interface HttpResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly text: string
}

/** Sends one request on a connection of its own. */
export async function sendHttp (
  port: number, method: string, path: string, body?: string | Buffer, headers: Readonly<Record<string, string | string[]>> = {}
): Promise<HttpResponse> {
  // Set for every method, because Node.js would send the body of OPTIONS or DELETE without a length.
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

/** Sends raw bytes, closes the sending side and returns all bytes received until the connection closes. */
export async function sendRaw (port: number, bytes: Buffer): Promise<string> {
  return await new Promise((resolve) => {
    const chunks: Buffer[] = []
    const socket = connect({ host: '127.0.0.1', port, allowHalfOpen: true })
    socket.on('data', (chunk: Buffer) => chunks.push(chunk))
    // A reset after the response is not an error: the server closes connections on which it received malformed HTTP.
    socket.on('error', () => {})
    socket.on('close', () => resolve(Buffer.concat(chunks).toString('latin1')))
    socket.on('end', () => socket.end())
    socket.write(bytes)
    socket.end()
  })
}

/** Polls until `condition` holds. The timeout only ends a test that would never finish. */
export async function waitUntil (condition: () => boolean): Promise<void> {
  for (let poll = 0; poll < 3_000; poll++) {
    if (condition()) return
    await new Promise<void>((resolve) => { setTimeout(resolve, 10) })
  }
  throw new Error('condition not met within 30 s')
}
