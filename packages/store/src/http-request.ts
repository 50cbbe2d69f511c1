import type { Clock } from '@hibiscusledge/runtime/clock.js'
import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import type { Dispatcher } from 'undici'

/** An HTTP request with a JSON body or none. */
export interface HttpRequest {
  readonly origin: string
  readonly path: string
  readonly method: 'GET' | 'POST'
  readonly body?: unknown
  readonly timeoutMs: number
}

export interface HttpResponse {
  readonly status: number
  readonly text: string
}

/** Why no complete response arrived. Only `notSent` proves that the server did not receive the request. */
export interface HttpFailure {
  readonly type: 'notSent' | 'timeout' | 'broken'
  readonly message: string
}

const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'ENOTFOUND', 'EAI_AGAIN', 'UND_ERR_CONNECT_TIMEOUT'
])

const MESSAGES = {
  timeout: (timeoutMs: number) => `no whole answer within ${timeoutMs} ms`
} as const

/** Sends a request and reads the complete response, both within the request's timeout. */
export async function fetchText (dispatcher: Dispatcher, clock: Clock, request: HttpRequest): Promise<Result<HttpResponse, HttpFailure>> {
  const controller = new AbortController()
  const timer = clock.startTimer(request.timeoutMs, () => controller.abort())
  try {
    const response = await dispatcher.request({
      origin: request.origin,
      path: request.path,
      method: request.method,
      headers: request.body === undefined ? {} : { 'content-type': 'application/json' },
      body: request.body === undefined ? null : JSON.stringify(request.body),
      signal: controller.signal,
      // The clock's timer is the only timeout, so that tests with a fake clock control it.
      headersTimeout: 0,
      bodyTimeout: 0
    })
    return Ok({ status: response.statusCode, text: await response.body.text() })
  } catch (error) {
    if (controller.signal.aborted) return Err({ type: 'timeout', message: MESSAGES.timeout(request.timeoutMs) })
    return Err(toHttpFailure(error))
  } finally {
    timer.cancel()
  }
}

/** Classifies an error of the HTTP client by whether the request may have reached the server. */
export function toHttpFailure (error: unknown): HttpFailure {
  const message = error instanceof Error ? error.message || error.name : String(error)
  const code = findErrorCode(error)
  return { type: code !== undefined && CONNECT_ERROR_CODES.has(code) ? 'notSent' : 'broken', message: code === undefined ? message : `${code}: ${message}` }
}

function findErrorCode (error: unknown): string | undefined {
  if (typeof error !== 'object' || error === null) return undefined
  return 'code' in error && typeof error.code === 'string' ? error.code : undefined
}
