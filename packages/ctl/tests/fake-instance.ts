import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/** `silent` never answers, `closed` closes the connection without an answer. */
export type ScriptedResponse = { readonly status: number, readonly body: unknown } | { readonly status: number, readonly text: string } | 'silent' | 'closed'

/** Answers of the instance in order, by `METHOD path`. */
export type ScriptedResponses = Readonly<Record<string, readonly ScriptedResponse[]>>

/** An HTTP server that gives scripted answers and notes what it was asked. */
export class FakeInstance {
  readonly #server: Server
  readonly #responses = new Map<string, ScriptedResponse[]>()
  /** One line for each call since the last take. */
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

  setResponses (answers: ScriptedResponses): void {
    this.#responses.clear()
    for (const [call, list] of Object.entries(answers)) this.#responses.set(call, [...list])
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
      const answer = this.#responses.get(call)?.shift() ?? { status: 500, body: { message: `no answer is scripted for ${call}` } }
      if (answer === 'closed') request.socket.destroy()
      else if (answer !== 'silent') {
        response.writeHead(answer.status, { 'content-type': 'application/json' })
        response.end('text' in answer ? answer.text : JSON.stringify(answer.body))
      }
    })
  }
}

/** The body's fields without the tables, which are only counted. */
function describeBody (text: string): string {
  if (text === '') return ''
  const { routes, pools, ...fields } = JSON.parse(text) as { routes: string, pools: string }
  return ` ${JSON.stringify(fields)} with ${routes.length + pools.length} characters of tables`
}
