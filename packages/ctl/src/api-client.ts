import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import { Agent, request } from 'undici'
import { RESPONSE_FAILURE_REASONS } from './ctl-messages.js'
import { formatAddress, type HostPort } from './parse-address.js'

/** Above the largest answer: both tables at the store's limit of 1 MB, escaped as JSON. */
const MAX_RESPONSE_BYTES = 8_388_608

/** Errors of a connection that was never made, so that nothing was sent. */
const CONNECT_ERROR_CODES: ReadonlySet<unknown> = new Set([
  'ECONNREFUSED', 'ENOTFOUND', 'EAI_AGAIN', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT'
])

/** A JSON answer of the API. */
export interface ApiResponse {
  readonly status: number
  readonly body: unknown
}

/** A call without a usable answer. */
export interface ApiFailure {
  /** False when the instance cannot have received the call. */
  readonly mayHaveArrived: boolean
  readonly reason: string
}

/** Calls the HTTP API of one instance. Never repeats a call by itself. */
export class ApiClient {
  readonly #origin: string
  readonly #timeoutMs: number
  readonly address: string

  constructor (address: HostPort, timeoutMs: number) {
    this.address = formatAddress(address)
    this.#origin = `http://${this.address}`
    this.#timeoutMs = timeoutMs
  }

  async send (method: 'GET' | 'PUT', path: string, body?: unknown): Promise<Result<ApiResponse, ApiFailure>> {
    // A new connection for each call, as an open one may have gone silent.
    const dispatcher = new Agent({ connect: { timeout: this.#timeoutMs } })
    try {
      const signal = AbortSignal.timeout(this.#timeoutMs)
      const reply = await request(`${this.#origin}${path}`, {
        method,
        dispatcher,
        signal,
        headersTimeout: 0,
        bodyTimeout: 0,
        headers: { accept: 'application/json', ...(body === undefined ? {} : { 'content-type': 'application/json' }) },
        ...(body === undefined ? {} : { body: JSON.stringify(body) })
      })
      return await readResponse(reply)
    } catch (error) {
      return new Err(this.#describeError(error))
    } finally {
      await dispatcher.destroy()
    }
  }

  #describeError (error: unknown): ApiFailure {
    const { name, code, message } = error as { name?: string, code?: unknown, message?: string }
    if (name === 'TimeoutError') return { mayHaveArrived: true, reason: RESPONSE_FAILURE_REASONS.timeout(this.#timeoutMs) }
    // An error of several addresses of one name has a code but no message.
    const reason = message === undefined || message === '' ? String(code) : message
    return { mayHaveArrived: !CONNECT_ERROR_CODES.has(code), reason }
  }
}

async function readResponse (reply: Awaited<ReturnType<typeof request>>): Promise<Result<ApiResponse, ApiFailure>> {
  const chunks: Buffer[] = []
  let byteCount = 0
  for await (const chunk of reply.body as AsyncIterable<Buffer>) {
    byteCount += chunk.length
    if (byteCount > MAX_RESPONSE_BYTES) return new Err({ mayHaveArrived: true, reason: RESPONSE_FAILURE_REASONS.tooLarge(MAX_RESPONSE_BYTES) })
    chunks.push(chunk)
  }
  try {
    return new Ok({ status: reply.statusCode, body: JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown })
  } catch {
    return new Err({ mayHaveArrived: true, reason: RESPONSE_FAILURE_REASONS.notJson(reply.statusCode) })
  }
}
