import { statusAnswer } from './answer-schemas.js'
import type { ApiClient } from './api-client.js'
import type { Command, CommandReport } from './command.js'
import { EXIT_CODES } from './exit-codes.js'
import { formatStatus } from './format-status.js'
import { reportAnswer } from './reports.js'

/** `status`: the cluster as the instance sees it. */
export class StatusCommand implements Command {
  readonly #client: ApiClient

  constructor (client: ApiClient) {
    this.#client = client
  }

  async execute (): Promise<CommandReport> {
    return await reportAnswer(this.#client, '/v1/status', statusAnswer, (answer) => ({
      exitCode: EXIT_CODES.success, data: answer, lines: formatStatus(answer)
    }))
  }
}
