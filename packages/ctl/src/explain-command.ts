import { explanationResponse } from './response-schemas.js'
import type { ApiClient } from './api-client.js'
import type { Command, CommandReport } from './command.js'
import { EXIT_CODES } from './exit-codes.js'
import { formatExplanation } from './format-request.js'
import { reportResponse } from './reports.js'

/** `explain REQUEST-ID`: shows why a request is still waiting. */
export class ExplainCommand implements Command {
  readonly #client: ApiClient
  readonly #requestId: string

  constructor (client: ApiClient, requestId: string) {
    this.#client = client
    this.#requestId = requestId
  }

  async execute (): Promise<CommandReport> {
    const path = `/v1/requests/${encodeURIComponent(this.#requestId)}/explanation`
    return await reportResponse(this.#client, path, explanationResponse, (response) => ({
      exitCode: EXIT_CODES.success, data: response, lines: formatExplanation(response)
    }))
  }
}
