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

/** moleculer-web without a server of its own, and with the project's answers in place of its own. */
export function createApiGatewayService (parts: ApiContext): ServiceSchema {
  return {
    name: 'api',
    mixins: [ApiGatewayService],
    settings: {
      server: false,
      logRequest: null,
      logRequestParams: null,
      logResponse: null,
      logRouteRegistration: null,
      routes: createApiRoutes(parts.settings.maxBodyBytes)
    },
    actions: { listAliases: false, addRoute: false, removeRoute: false },
    methods: {
      sendResponse (_request: IncomingRequest, response: GatewayResponse, apiResponse: ApiResponse): void {
        writeResponse(response, apiResponse, isClosing(parts))
      },

      sendError (request: IncomingRequest, response: GatewayResponse, error: unknown): void {
        const apiResponse = toErrorResponse(error)
        if (apiResponse === undefined) {
          parts.logger.logError(LOG_EVENTS.requestFailed, { operation: `${request.method} ${request.$alias?.path ?? ''}`, error })
        }
        writeResponse(response, apiResponse ?? createErrorResponse('internal'), isClosing(parts))
      },

      errorHandler (this: GatewayThis, request: IncomingRequest, response: GatewayResponse, error: unknown): void {
        this.sendError(request, response, error)
      },

      send404 (this: GatewayThis, request: IncomingRequest, response: GatewayResponse): void {
        const allowed = this.aliases.filter(({ re }) => re.test(request.parsedUrl)).map(({ method }) => method)
        const apiResponse = allowed.length === 0
          ? createErrorResponse('notFound')
          : { ...createErrorResponse('methodNotAllowed'), headers: { Allow: allowed.sort().join(', ') } }
        writeResponse(response, apiResponse, isClosing(parts))
      },

      logRequest (): void {},
      logResponse (): void {}
    }
  } as unknown as ServiceSchema
}

function isClosing (parts: ApiContext): boolean {
  const state = parts.lifeCycle.readState()
  return state === 'draining' || state === 'stopped'
}
