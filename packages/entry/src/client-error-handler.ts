import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import type { ApiErrorName } from './api-messages.js'
import { LOG_EVENTS } from './log-events.js'
import { formatRawResponse } from './write-response.js'

interface ConnectionState {
  pendingRequests: number
  newestRequest: IncomingMessage
  newestResponse: ServerResponse
}

/**
 * Responds to bytes that aren't valid HTTP. On a connection with pipelined requests the parser's error belongs to the
 * newest request, and the caller would take an error response for the response to an earlier one; such a connection is
 * closed without a response.
 */
export class ClientErrorHandler {
  readonly #logger: EventLogger
  readonly #states = new WeakMap<Duplex, ConnectionState>()

  constructor (logger: EventLogger) {
    this.#logger = logger
  }

  /** Handles the events `clientError` and `connect` of `server`. */
  bindServer (server: Server): void {
    server.on('clientError', (error: NodeJS.ErrnoException, socket) => this.#onClientError(error, socket))
    server.on('connect', (_request, socket) => endConnection(socket, formatRawResponse('methodNotAllowed', 'Method Not Allowed')))
  }

  /** Registers a received request, which stays pending until its response closes. */
  trackRequest (request: IncomingMessage, response: ServerResponse): void {
    const state = this.#states.get(request.socket)
    if (state === undefined) {
      this.#states.set(request.socket, { pendingRequests: 1, newestRequest: request, newestResponse: response })
    } else {
      state.pendingRequests++
      state.newestRequest = request
      state.newestResponse = response
    }
    response.once('close', () => {
      const current = this.#states.get(request.socket)
      if (current !== undefined) current.pendingRequests--
    })
  }

  #onClientError (error: NodeJS.ErrnoException, socket: Duplex): void {
    this.#logger.logInfo(LOG_EVENTS.connectionRefused, { code: error.code })
    if (!socket.writable || !this.#isAnswerable(socket)) {
      socket.destroy()
      return
    }
    switch (error.code) {
      case 'HPE_HEADER_OVERFLOW': return endConnection(socket, formatRawResponse('headersTooLarge', 'Request Header Fields Too Large'))
      case 'ERR_HTTP_REQUEST_TIMEOUT': return endConnection(socket, formatRawResponse('requestTimeout' satisfies ApiErrorName, 'Request Timeout'))
      default: return endConnection(socket, formatRawResponse('malformedHttp', 'Bad Request'))
    }
  }

  /** Whether the caller would relate an error response on this connection to the request that caused the error. */
  #isAnswerable (socket: Duplex): boolean {
    const state = this.#states.get(socket)
    if (state === undefined || state.pendingRequests === 0) return true
    return state.pendingRequests === 1 && !state.newestRequest.complete && !state.newestResponse.headersSent
  }
}

function endConnection (socket: Duplex, text: string): void {
  socket.end(text, () => socket.destroy())
}
