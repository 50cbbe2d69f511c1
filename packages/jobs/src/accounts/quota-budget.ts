import { addResources, NO_RESOURCES } from '../capacity-tracker.js'
import type { Resources } from '../job.js'
import type { KnownAccounts } from './known-accounts.js'

/**
 * Limits the waiting work that counts as demand to what its account can finish within its quota. The rest waits for the account's own
 * runs, so it takes no capacity from other accounts.
 */
export class QuotaBudget {
  readonly #accounts: KnownAccounts
  readonly #work = new Map<string, Resources>()
  readonly #lasting = new Map<string, Resources>()

  constructor (accounts: KnownAccounts) {
    this.#accounts = accounts
  }

  /**
   * Adds work, resources multiplied by milliseconds, unless the account can't finish it within this time from now, after the work added
   * before. Returns whether it was added. Call it in the order of deadlines.
   */
  tryAdd (account: string | undefined, work: Resources, remainingMs: number): boolean {
    return this.#tryAdd(this.#work, account, work, remainingMs)
  }

  /** Adds the size of tasks that run until their job is cancelled, unless those added before leave no room for them in the quota. */
  tryAddLasting (account: string | undefined, size: Resources): boolean {
    return this.#tryAdd(this.#lasting, account, size, 1)
  }

  #tryAdd (sums: Map<string, Resources>, account: string | undefined, amount: Resources, quotaFactor: number): boolean {
    const quota = account === undefined ? undefined : this.#accounts.find(account)?.quota
    if (account === undefined || quota === undefined) return true
    const sum = addResources(sums.get(account) ?? NO_RESOURCES, amount)
    const isWithin = isWithinLimit(quota.cpuMillis * quotaFactor, sum.cpuMillis) &&
      isWithinLimit(quota.memoryMb * quotaFactor, sum.memoryMb) && isWithinLimit(quota.accelerators * quotaFactor, sum.accelerators)
    if (isWithin) sums.set(account, sum)
    return isWithin
  }
}

function isWithinLimit (limit: number, amount: number): boolean {
  return limit <= 0 || amount <= limit
}
