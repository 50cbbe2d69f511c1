import { explanationResponse } from './response-schemas.js'
import type { ApiClient } from './api-client.js'
import type { Command, CommandReport } from './command.js'
import { EXIT_CODES } from './exit-codes.js'
import { formatExplanation } from './format-request.js'
import { reportResponse } from './reports.js'

/** `explain REQUEST-ID`: why a request still waits. */
export class ExplainCommand implements Command {
  readonly #client: ApiClient
  readonly #requestId: string

  constructor (client: ApiClient, requestId: string) {
    this.#client = client
    this.#requestId = requestId
  }

  async execute (): Promise<CommandReport> {
    const path = `/v1/requests/${encodeURIComponent(this.#requestId)}/explanation`
    return await reportResponse(this.#client, path, explanationResponse, (answer) => ({
      exitCode: EXIT_CODES.success, data: answer, lines: formatExplanation(answer)
    }))
  }
}
