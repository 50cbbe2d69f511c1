import { createServer } from 'node:http'

/**
 * HTTP server whose connections can fall silent. A handler returns `{ status, body }`, or undefined to give no response.
 */
export class HttpService {
  #handler
  #server
  #port = 0
  #sockets = new Set()
  /** Sockets that belong to a machine that has lost power. Nothing is answered on them. */
  #dead = new WeakSet()
  #isDark = false
  /** Resolves when the partition heals; undefined without one. */
  #healed
  #heal

  constructor (handler) {
    this.#handler = handler
  }

  get address () { return `127.0.0.1:${this.#port}` }

  async listen () {
    this.#server = createServer({ keepAliveTimeout: 120_000 }, (request, response) => { this.#serve(request, response).catch(() => response.destroy()) })
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket)
      if (this.#isDark) this.#dead.add(socket)
      socket.on('close', () => { this.#sockets.delete(socket) })
      socket.on('error', () => {})
    })
    await new Promise((resolve) => { this.#server.listen(this.#port, '127.0.0.1', resolve) })
    this.#port = this.#server.address().port
  }

  /** Ends like a killed process: the port refuses connections, and the open connections are reset. */
  async crash () {
    const server = this.#server
    const closed = new Promise((resolve) => { server.close(resolve) })
    for (const socket of this.#sockets) socket.resetAndDestroy()
    await closed
  }

  /** Falls silent like a machine without power: open and new connections get no response. */
  goDark () {
    this.#isDark = true
    for (const socket of this.#sockets) this.#dead.add(socket)
  }

  /** Serves new connections again. The machine resets an old connection once something arrives on it. */
  returnFromDark () {
    this.#isDark = false
  }

  /** Cut off by a partition: nothing passes until `heal`, in either direction. */
  cut () {
    this.#healed = new Promise((resolve) => { this.#heal = resolve })
  }

  heal () {
    this.#heal?.()
    this.#healed = undefined
  }

  /** Stops for good. */
  async stop () {
    if (this.#server === undefined) return
    const server = this.#server
    this.#server = undefined
    for (const socket of this.#sockets) socket.destroy()
    await new Promise((resolve) => { server.close(resolve) })
  }

  async #serve (request, response) {
    const socket = request.socket
    const chunks = []
    try {
      for await (const chunk of request) chunks.push(chunk)
    } catch {
      return
    }
    if (this.#dead.has(socket)) {
      if (!this.#isDark) socket.resetAndDestroy()
      return
    }
    // What the partition has held up is lost if its sender has closed the connection meanwhile.
    await this.#healed
    if (socket.destroyed) return
    const url = new URL(request.url, 'http://localhost')
    const text = Buffer.concat(chunks).toString('utf8')
    const answer = await this.#handler({
      method: request.method, path: url.pathname, query: url.searchParams, headers: request.headers, body: text === '' ? undefined : JSON.parse(text)
    })
    await this.#healed
    if (answer === undefined || this.#dead.has(socket) || response.destroyed) return
    const content = answer.body === undefined ? '' : JSON.stringify(answer.body)
    response.writeHead(answer.status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(content) })
    response.end(content)
  }
}
