import { outcomeResponse, type OutcomeResponse } from './response-schemas.js'
import type { ApiClient } from './api-client.js'
import type { Command, CommandReport } from './command.js'
import { EXIT_CODES, type ExitCode } from './exit-codes.js'
import { formatOutcome } from './format-request.js'
import { reportResponse } from './reports.js'

const OUTCOME_EXIT_CODES: Readonly<Record<OutcomeResponse['outcome'], ExitCode>> = {
  completed: EXIT_CODES.success,
  notRun: EXIT_CODES.negative,
  pending: EXIT_CODES.negative,
  unknown: EXIT_CODES.unknown
}

/** `outcome REQUEST-ID`: shows the outcome of a request. */
export class OutcomeCommand implements Command {
  readonly #client: ApiClient
  readonly #requestId: string

  constructor (client: ApiClient, requestId: string) {
    this.#client = client
    this.#requestId = requestId
  }

  async execute (): Promise<CommandReport> {
    return await reportResponse(this.#client, `/v1/requests/${encodeURIComponent(this.#requestId)}`, outcomeResponse, (response) => ({
      exitCode: OUTCOME_EXIT_CODES[response.outcome], data: response, lines: formatOutcome(response)
    }))
  }
}
