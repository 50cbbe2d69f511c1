import { createServer, type IncomingHttpHeaders, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

export interface StandInRequest {
  readonly method: string
  readonly path: string
  readonly query: URLSearchParams
  readonly headers: IncomingHttpHeaders
  /** The parsed JSON body, or undefined when there is none or it is not JSON. */
  readonly body: unknown
  readonly bodyBytes: number
  /** Registers a callback for when the response ends or its connection closes. */
  readonly onClosed: (callback: () => void) => void
}

export interface JsonResponse {
  readonly status: number
  readonly body: unknown
  readonly headers?: Readonly<Record<string, string>>
}

/** A stream of JSON lines. `open` receives a function that writes one line. */
export interface StreamResponse {
  readonly open: (writeLine: (line: unknown) => void) => void
}

/** `hang` never responds; `drop` closes the connection without a response. */
export type StandInResponse = JsonResponse | StreamResponse | 'hang' | 'drop'

export type StandInHandler = (request: StandInRequest) => StandInResponse | Promise<StandInResponse>

const MAX_BODY_BYTES = 16 * 1024 * 1024

/** An HTTP server for JSON with connection faults: connections can be refused, closed or paused. */
export class StandInServer {
  readonly #server: Server
  readonly #handler: StandInHandler
  readonly #host: string
  readonly #sockets = new Set<Socket>()
  readonly #pausedSockets = new WeakSet<Socket>()
  #port = 0
  #isRefusing = false
  refusedConnections = 0

  constructor (handler: StandInHandler, host = '127.0.0.1', maxConnections = 0) {
    this.#handler = handler
    this.#host = host
    this.#server = createServer((request, response) => {
      this.#serve(request, response).catch(() => { response.destroy() })
    })
    // Only the client or a fault closes a connection, so that no test depends on a race with an idle timeout.
    this.#server.keepAliveTimeout = 0
    this.#server.requestTimeout = 0
    this.#server.headersTimeout = 0
    if (maxConnections > 0) this.#server.maxConnections = maxConnections
    this.#server.on('drop', () => { this.refusedConnections++ })
    this.#server.on('connection', (socket: Socket) => {
      this.#sockets.add(socket)
      socket.on('close', () => { this.#sockets.delete(socket) })
    })
  }

  /** Starts to listen and returns `host:port`. Port 0 selects a free port. */
  async start (port: number): Promise<string> {
    await this.#openListener(port)
    this.#port = (this.#server.address() as AddressInfo).port
    return `${this.#host}:${this.#port}`
  }

  async stop (): Promise<void> {
    if (!this.#isRefusing) await this.#closeListener()
  }

  /** Closes the open connections and refuses new ones, or accepts connections again on the same port. */
  async setRefusing (isRefusing: boolean): Promise<void> {
    if (this.#isRefusing === isRefusing) return
    this.#isRefusing = isRefusing
    await (isRefusing ? this.#closeListener() : this.#openListener(this.#port))
  }

  /** Stops responding on the connections that are open now, for good. New connections work. */
  pauseConnections (): void {
    for (const socket of this.#sockets) this.#pausedSockets.add(socket)
  }

  async #openListener (port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, this.#host, () => {
        this.#server.off('error', reject)
        resolve()
      })
    })
  }

  async #closeListener (): Promise<void> {
    const closed = new Promise<void>((resolve) => { this.#server.close(() => resolve()) })
    for (const socket of this.#sockets) socket.destroy()
    await closed
  }

  async #serve (incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const socket = incoming.socket
    const chunks: Buffer[] = []
    let bodyBytes = 0
    for await (const chunk of incoming) {
      bodyBytes += (chunk as Buffer).length
      if (bodyBytes <= MAX_BODY_BYTES) chunks.push(chunk as Buffer)
    }
    if (this.#pausedSockets.has(socket)) return
    const url = new URL(incoming.url ?? '/', 'http://stand-in')
    const result = await this.#handler({
      method: incoming.method ?? 'GET',
      path: url.pathname,
      query: url.searchParams,
      headers: incoming.headers,
      body: parseJson(Buffer.concat(chunks).toString('utf8')),
      bodyBytes,
      onClosed: (callback) => { response.on('close', callback) }
    })
    if (result === 'hang' || this.#pausedSockets.has(socket)) return
    if (result === 'drop') {
      socket.destroy()
      return
    }
    if ('open' in result) {
      response.writeHead(200, { 'content-type': 'application/json' })
      result.open((line) => { if (!this.#pausedSockets.has(socket) && !response.destroyed) response.write(JSON.stringify(line) + '\n') })
      return
    }
    response.writeHead(result.status, { 'content-type': 'application/json', ...result.headers })
    response.end(JSON.stringify(result.body))
  }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text) as unknown
  } catch {
    return undefined
  }
}
