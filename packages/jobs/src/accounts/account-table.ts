import type { Resources } from '../job.js'

/** A client account, on whose behalf jobs are submitted. */
export interface ClientAccount {
  readonly name: string
  /** Guaranteed rate of jobs while capacity is short, in jobs per second. */
  readonly weight: number
  /** Resources that the account's runs may use together on all targets; 0 for no limit. */
  readonly quota: Resources
}

/** A client account and the API keys that identify its callers. */
export interface AccountConfiguration extends ClientAccount {
  readonly keys: readonly string[]
}

/** The client accounts of one version of the configuration. Without accounts, callers aren't authenticated. */
export class AccountTable {
  readonly #byKey = new Map<string, ClientAccount>()
  readonly #byName = new Map<string, ClientAccount>()
  /** Accounts that only earlier versions have named, with their last values. */
  readonly #former = new Map<string, ClientAccount>()

  /** `previous`: the version in force before. Its accounts are remembered, since their jobs continue to run. */
  constructor (accounts: readonly AccountConfiguration[] = [], previous?: AccountTable) {
    for (const { keys, ...account } of accounts) {
      this.#byName.set(account.name, account)
      for (const key of keys) this.#byKey.set(key, account)
    }
    for (const account of previous?.listKnown() ?? []) if (!this.#byName.has(account.name)) this.#former.set(account.name, account)
  }

  isEmpty (): boolean {
    return this.#byName.size === 0
  }

  /** Lists the accounts of this version and those that only earlier ones have named. */
  listKnown (): readonly ClientAccount[] {
    return [...this.#byName.values(), ...this.#former.values()]
  }

  find (name: string): ClientAccount | undefined {
    return this.#byName.get(name)
  }

  findByKey (key: string): ClientAccount | undefined {
    return this.#byKey.get(key)
  }
}

/** What an instance knows that has not read a configuration yet, which may name accounts or none. */
export const UNREAD_ACCOUNTS = new AccountTable()

/** Returns the accounts of the newest version of the configuration. */
export type ReadAccounts = () => AccountTable
