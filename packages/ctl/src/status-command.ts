import { statusResponse } from './response-schemas.js'
import type { ApiClient } from './api-client.js'
import type { Command, CommandReport } from './command.js'
import { EXIT_CODES } from './exit-codes.js'
import { formatStatus } from './format-status.js'
import { reportResponse } from './reports.js'

/** `status`: shows the cluster as the instance sees it. */
export class StatusCommand implements Command {
  readonly #client: ApiClient

  constructor (client: ApiClient) {
    this.#client = client
  }

  async execute (): Promise<CommandReport> {
    return await reportResponse(this.#client, '/v1/status', statusResponse, (response) => ({
      exitCode: EXIT_CODES.success, data: response, lines: formatStatus(response)
    }))
  }
}
