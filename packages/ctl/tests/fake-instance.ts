import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/** `hang` never responds; `drop` closes the connection without a response. */
export type ScriptedResponse = { readonly status: number, readonly body: unknown } | { readonly status: number, readonly text: string } | 'hang' | 'drop'

/** The responses of the instance in order, by `METHOD path`. */
export type ScriptedResponses = Readonly<Record<string, readonly ScriptedResponse[]>>

/** An HTTP server that sends scripted responses and records the requests. */
export class FakeInstance {
  readonly #server: Server
  readonly #responses = new Map<string, ScriptedResponse[]>()
  /** One line for each request since the last `takeCalls`. */
  #calls: string[] = []

  private constructor (server: Server) {
    this.#server = server
    server.on('request', (request, response) => { this.#handle(request, response) })
  }

  static async start (): Promise<FakeInstance> {
    const server = createServer()
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    return new FakeInstance(server)
  }

  get address (): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`
  }

  setResponses (responses: ScriptedResponses): void {
    this.#responses.clear()
    for (const [call, list] of Object.entries(responses)) this.#responses.set(call, [...list])
  }

  takeCalls (): readonly string[] {
    const calls = this.#calls
    this.#calls = []
    return calls
  }

  async stop (): Promise<void> {
    this.#server.closeAllConnections()
    await new Promise<void>((resolve) => { this.#server.close(() => { resolve() }) })
  }

  #handle (request: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => { chunks.push(chunk) })
    request.on('end', () => {
      const call = `${request.method} ${request.url}`
      this.#calls.push(`${call}${describeBody(Buffer.concat(chunks).toString())}`)
      const scripted = this.#responses.get(call)?.shift() ?? { status: 500, body: { message: `no response is scripted for ${call}` } }
      if (scripted === 'drop') request.socket.destroy()
      else if (scripted !== 'hang') {
        response.writeHead(scripted.status, { 'content-type': 'application/json' })
        response.end('text' in scripted ? scripted.text : JSON.stringify(scripted.body))
      }
    })
  }
}

/** Formats the body's fields. Of the tables only the length is given. */
function describeBody (text: string): string {
  if (text === '') return ''
  const { routes, pools, ...fields } = JSON.parse(text) as { routes: string, pools: string }
  return ` ${JSON.stringify(fields)} with ${routes.length + pools.length} characters of tables`
}
