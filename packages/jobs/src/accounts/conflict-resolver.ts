import { ACCEPTANCE_OUTCOMES, type AcceptanceOutcome } from '../job-acceptor.js'
import { decodeJob } from '../job-record.js'
import type { JobReader } from '../job-reader.js'
import type { ReadAccounts } from './account-table.js'
import { AccountViewer } from './job-viewer.js'

/** Tells a repeated submission from one whose id another account uses. The second must not be answered as stored. */
export class ConflictResolver {
  readonly #reader: JobReader
  readonly #readAccounts: ReadAccounts

  constructor (reader: JobReader, readAccounts: ReadAccounts) {
    this.#reader = reader
    this.#readAccounts = readAccounts
  }

  /** Determines the outcome for a record whose id is in use; undefined while the configuration names no account. */
  resolve (record: string): Promise<AcceptanceOutcome> | undefined {
    return this.#readAccounts().isEmpty() ? undefined : this.#compareAccounts(record)
  }

  async #compareAccounts (record: string): Promise<AcceptanceOutcome> {
    const job = decodeJob(record)
    if (job.err) return ACCEPTANCE_OUTCOMES.unknown
    const state = await this.#reader.readState(job.val.id, new AccountViewer(job.val.account))
    if (state.err) return ACCEPTANCE_OUTCOMES.unknown
    return state.val === undefined ? ACCEPTANCE_OUTCOMES.idInUse : ACCEPTANCE_OUTCOMES.stored
  }
}
