import type { ServiceSchema } from 'moleculer'
import ApiGatewayService, { type GatewayResponse, type IncomingRequest } from 'moleculer-web'
import type { ApiContext } from './api-context.js'
import { createErrorResponse, type ApiResponse } from './api-response.js'
import { createApiRoutes } from './api-routes.js'
import { LOG_EVENTS } from './log-events.js'
import { toErrorResponse } from './to-error-response.js'
import { writeResponse } from './write-response.js'

interface GatewayAlias {
  readonly method: string
  readonly re: RegExp
}

interface GatewayThis {
  readonly aliases: readonly GatewayAlias[]
  sendError (request: IncomingRequest, response: GatewayResponse, error: unknown): void
}

/** Returns the moleculer-web service without an HTTP server of its own and with the error responses of this API. */
export function createApiGatewayService (context: ApiContext): ServiceSchema {
  return {
    name: 'api',
    mixins: [ApiGatewayService],
    settings: {
      server: false,
      logRequest: null,
      logRequestParams: null,
      logResponse: null,
      logRouteRegistration: null,
      routes: createApiRoutes(context.settings.maxBodyBytes)
    },
    actions: { listAliases: false, addRoute: false, removeRoute: false },
    methods: {
      sendResponse (_request: IncomingRequest, response: GatewayResponse, apiResponse: ApiResponse): void {
        writeResponse(response, apiResponse, isClosing(context))
      },

      sendError (request: IncomingRequest, response: GatewayResponse, error: unknown): void {
        const apiResponse = toErrorResponse(error)
        if (apiResponse === undefined) {
          context.logger.logError(LOG_EVENTS.requestFailed, { operation: `${request.method} ${request.$alias?.path ?? ''}`, error })
        }
        writeResponse(response, apiResponse ?? createErrorResponse('internal'), isClosing(context))
      },

      errorHandler (this: GatewayThis, request: IncomingRequest, response: GatewayResponse, error: unknown): void {
        this.sendError(request, response, error)
      },

      send404 (this: GatewayThis, request: IncomingRequest, response: GatewayResponse): void {
        const allowed = this.aliases.filter(({ re }) => re.test(request.parsedUrl)).map(({ method }) => method)
        const apiResponse = allowed.length === 0
          ? createErrorResponse('notFound')
          : { ...createErrorResponse('methodNotAllowed'), headers: { Allow: allowed.sort().join(', ') } }
        writeResponse(response, apiResponse, isClosing(context))
      },

      logRequest (): void {},
      logResponse (): void {}
    }
  } as unknown as ServiceSchema
}

function isClosing (context: ApiContext): boolean {
  const state = context.lifeCycle.readState()
  return state === 'draining' || state === 'stopped'
}
