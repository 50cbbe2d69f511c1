import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import { Agent, request } from 'undici'
import { FAILURE_REASONS } from './ctl-messages.js'
import { formatAddress, type HostPort } from './parse-address.js'

/** Exceeds the largest valid response: both tables at the store's limit of 1 MB, escaped as JSON. */
const MAX_RESPONSE_BYTES = 8_388_608

/** Error codes of a connection that was never established, so that no request was sent. */
const CONNECT_ERROR_CODES: ReadonlySet<unknown> = new Set([
  'ECONNREFUSED', 'ENOTFOUND', 'EAI_AGAIN', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT'
])

/** A JSON response of the API. */
export interface ApiResponse {
  readonly status: number
  readonly body: unknown
}

/** A call that got no usable response. */
export interface ApiFailure {
  /** False only when the instance cannot have received the request. */
  readonly mayHaveArrived: boolean
  readonly reason: string
}

/** Calls the HTTP API of one instance. Never retries a call. */
export class ApiClient {
  readonly #origin: string
  readonly #timeoutMs: number
  readonly address: string

  constructor (address: HostPort, timeoutMs: number) {
    this.address = formatAddress(address)
    this.#origin = `http://${this.address}`
    this.#timeoutMs = timeoutMs
  }

  /** Sends one request. Fails when no complete JSON response arrives within the timeout. */
  async send (method: 'GET' | 'PUT', path: string, body?: unknown): Promise<Result<ApiResponse, ApiFailure>> {
    // Each call opens a new connection, as an open one may have become unresponsive.
    const dispatcher = new Agent({ connect: { timeout: this.#timeoutMs } })
    try {
      const signal = AbortSignal.timeout(this.#timeoutMs)
      const response = await request(`${this.#origin}${path}`, {
        method,
        dispatcher,
        signal,
        headersTimeout: 0,
        bodyTimeout: 0,
        headers: { accept: 'application/json', ...(body === undefined ? {} : { 'content-type': 'application/json' }) },
        ...(body === undefined ? {} : { body: JSON.stringify(body) })
      })
      return await readResponse(response)
    } catch (error) {
      return new Err(this.#describeError(error))
    } finally {
      await dispatcher.destroy()
    }
  }

  #describeError (error: unknown): ApiFailure {
    const { name, code, message } = error as { name?: string, code?: unknown, message?: string }
    if (name === 'TimeoutError') return { mayHaveArrived: true, reason: FAILURE_REASONS.timeout(this.#timeoutMs) }
    // When a host name has several addresses and none accepts, the error has a code but an empty message.
    const reason = message === undefined || message === '' ? String(code) : message
    return { mayHaveArrived: !CONNECT_ERROR_CODES.has(code), reason }
  }
}

async function readResponse (response: Awaited<ReturnType<typeof request>>): Promise<Result<ApiResponse, ApiFailure>> {
  const chunks: Buffer[] = []
  let byteCount = 0
  for await (const chunk of response.body as AsyncIterable<Buffer>) {
    byteCount += chunk.length
    if (byteCount > MAX_RESPONSE_BYTES) return new Err({ mayHaveArrived: true, reason: FAILURE_REASONS.tooLarge(MAX_RESPONSE_BYTES) })
    chunks.push(chunk)
  }
  try {
    return new Ok({ status: response.statusCode, body: JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown })
  } catch {
    return new Err({ mayHaveArrived: true, reason: FAILURE_REASONS.notJson(response.statusCode) })
  }
}
