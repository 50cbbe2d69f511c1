import { UNREAD_ACCOUNTS, type ClientAccount, type ReadAccounts } from './account-table.js'

/** The accounts of the configuration in force, and the last known values of those that only earlier versions have named. */
export class KnownAccounts {
  readonly #readAccounts: ReadAccounts
  readonly #byName = new Map<string, ClientAccount>()
  #table = UNREAD_ACCOUNTS

  constructor (readAccounts: ReadAccounts) {
    this.#readAccounts = readAccounts
  }

  /** Reads the accounts of the newest version. */
  refresh (): void {
    const table = this.#readAccounts()
    if (table === this.#table) return
    this.#table = table
    for (const account of table.listKnown()) this.#byName.set(account.name, account)
  }

  /** Whether no version has been read yet. */
  isUnread (): boolean {
    return this.#table === UNREAD_ACCOUNTS
  }

  /** Whether the version in force names any account. */
  isEmpty (): boolean {
    return this.#table.isEmpty()
  }

  find (name: string): ClientAccount | undefined {
    return this.#byName.get(name)
  }
}
