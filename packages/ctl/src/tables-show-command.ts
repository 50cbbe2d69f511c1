import { tablesResponse } from './response-schemas.js'
import type { ApiClient } from './api-client.js'
import type { Command, CommandReport } from './command.js'
import { EXIT_CODES } from './exit-codes.js'
import { formatTables } from './format-tables.js'
import { reportResponse } from './reports.js'

/** `tables show`: shows the tables that the instance has applied. */
export class TablesShowCommand implements Command {
  readonly #client: ApiClient

  constructor (client: ApiClient) {
    this.#client = client
  }

  async execute (): Promise<CommandReport> {
    return await reportResponse(this.#client, '/v1/tables', tablesResponse, (response) => ({
      exitCode: EXIT_CODES.success, data: response, lines: formatTables(response)
    }))
  }
}
