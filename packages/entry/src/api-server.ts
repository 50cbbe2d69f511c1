import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { ServiceBroker, type Service } from 'moleculer'
import { createApiGatewayService } from './api-gateway-service.js'
import type { ApiContext } from './api-context.js'
import { createErrorResponse } from './api-response.js'
import { ClientErrorHandler } from './client-error-handler.js'
import { LOG_EVENTS } from './log-events.js'
import { API_METRICS } from './metric-names.js'
import { createOperationsService } from './operations-service.js'
import { createRequestsService } from './requests-service.js'
import { writeResponse } from './write-response.js'

const HEADERS_TIMEOUT_MS = 10_000
const REQUEST_TIMEOUT_MS = 30_000
/** Above the idle timeout of common load balancers (60 s): a balancer that closes first never writes to a closing connection. */
const KEEP_ALIVE_TIMEOUT_MS = 72_000
const CLOSE_TIMEOUT_MS = 1_000

type HttpHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>

/** HTTP server of the API. A Moleculer broker without a transporter handles the requests. */
export class ApiServer {
  readonly #context: ApiContext
  readonly #broker: ServiceBroker
  readonly #server: Server
  readonly #clientErrorHandler: ClientErrorHandler
  readonly #handleHttp: HttpHandler

  constructor (context: ApiContext) {
    this.#context = context
    this.#broker = createBroker(context)
    this.#broker.createService(createRequestsService(context))
    this.#broker.createService(createOperationsService(context))
    const apiService = this.#broker.createService(createApiGatewayService(context)) as Service & { httpHandler: HttpHandler }
    this.#handleHttp = apiService.httpHandler.bind(apiService)
    this.#clientErrorHandler = new ClientErrorHandler(context.logger)
    this.#server = createServer({
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      requireHostHeader: false
    }, (request, response) => this.#onRequest(request, response))
    this.#server.on('checkExpectation', (_request, response) => writeResponse(response, createErrorResponse('expectationFailed'), true))
    this.#clientErrorHandler.bindServer(this.#server)
  }

  /** Starts to listen. Resolves with the port; rejects when the address can't be bound. */
  async start (): Promise<number> {
    await this.#broker.start()
    const { apiHost, apiPort } = this.#context.settings
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(apiPort, apiHost, () => {
        this.#server.off('error', reject)
        resolve()
      })
    })
    const { port } = this.#server.address() as AddressInfo
    this.#context.logger.logInfo(LOG_EVENTS.listening, { host: apiHost, port })
    return port
  }

  /** Closes the server. Connections that are still open after `CLOSE_TIMEOUT_MS` are cut off, so call it when no caller is pending. */
  async stop (): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = this.#context.clock.startTimer(CLOSE_TIMEOUT_MS, () => this.#server.closeAllConnections())
      this.#server.close(() => {
        timer.cancel()
        resolve()
      })
      this.#server.closeIdleConnections()
    })
    await this.#broker.stop()
  }

  #onRequest (request: IncomingMessage, response: ServerResponse): void {
    const startedAtMs = this.#context.clock.readMonotonicMs()
    const endCaller = this.#context.pendingCallers.addCaller()
    this.#clientErrorHandler.trackRequest(request, response)
    response.once('close', () => {
      endCaller()
      this.#recordRequest(request, response, startedAtMs)
    })
    removeMoleculerHeaders(request)
    this.#handleHttp(request, response).catch((error: unknown) => {
      this.#context.logger.logError(LOG_EVENTS.requestFailed, { operation: request.method, error })
      writeResponse(response, createErrorResponse('internal'), true)
    })
  }

  #recordRequest (request: IncomingMessage & { $alias?: { path: string } }, response: ServerResponse, startedAtMs: number): void {
    const tags = {
      path: request.$alias?.path ?? 'none',
      method: request.$alias === undefined ? 'none' : request.method ?? 'none',
      status: response.writableFinished ? String(response.statusCode) : 'disconnected'
    }
    this.#context.metrics.incrementCounter(API_METRICS.requests, 1, tags)
    this.#context.metrics.recordTiming(API_METRICS.duration, this.#context.clock.readMonotonicMs() - startedAtMs, tags)
    this.#context.metrics.setGauge(API_METRICS.pending, this.#context.pendingCallers.readCount())
  }
}

// moleculer-web would take the method of a preflight request from the first header and run the action; it echoes the other two.
function removeMoleculerHeaders (request: IncomingMessage): void {
  delete request.headers['access-control-request-method']
  delete request.headers['x-request-id']
  delete request.headers['x-correlation-id']
}

/** Disables every feature that the API doesn't need, since each middleware adds latency to every request. */
function createBroker (context: ApiContext): ServiceBroker {
  return new ServiceBroker({
    nodeID: context.settings.instanceId,
    logger: false,
    metrics: false,
    tracing: false,
    validator: false,
    internalServices: false,
    internalMiddlewares: false,
    heartbeatInterval: 0,
    requestTimeout: 0,
    maxCallLevel: 0,
    skipProcessEventRegistration: true
  })
}
