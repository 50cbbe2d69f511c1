import type { Job, JobStep, Resources } from '../job.js'
import { addResources, NO_RESOURCES, subtractResources } from '../capacity-tracker.js'

/** What a run counts against the quota of the account that submitted its job. */
export interface AccountCharge {
  readonly account: string
  /** The full size of the task, also if it uses idle capacity only. */
  readonly size: Resources
  /** Whether the run ends only when its job is cancelled. */
  readonly isLasting: boolean
}

/** Creates the charge of a run; undefined for a job without an account. */
export function createCharge ({ account }: Job, { size, isLongRunning }: JobStep): AccountCharge | undefined {
  return account === undefined ? undefined : { account, size, isLasting: isLongRunning }
}

interface UsageEntry {
  used: Resources
  lasting: Resources
  runCount: number
}

/** What the runs of each account use or may use on all targets together. */
export class AccountUsage {
  readonly #entries = new Map<string, UsageEntry>()

  add (charge: AccountCharge | undefined): void {
    if (charge === undefined) return
    const { account, size, isLasting } = charge
    const entry = this.#entries.get(account) ?? { used: NO_RESOURCES, lasting: NO_RESOURCES, runCount: 0 }
    this.#entries.set(account, entry)
    entry.used = addResources(entry.used, size)
    if (isLasting) entry.lasting = addResources(entry.lasting, size)
    entry.runCount++
  }

  remove (charge: AccountCharge | undefined): void {
    if (charge === undefined) return
    const { account, size, isLasting } = charge
    const entry = this.#entries.get(account)
    if (entry === undefined) return
    entry.used = subtractResources(entry.used, size)
    if (isLasting) entry.lasting = subtractResources(entry.lasting, size)
    // Dropping the entry also drops what sums of fractions have left over.
    if (--entry.runCount === 0) this.#entries.delete(account)
  }

  read (account: string): Resources {
    return this.#entries.get(account)?.used ?? NO_RESOURCES
  }

  /** Returns the part that runs use which end only when their job is cancelled. */
  readLasting (account: string): Resources {
    return this.#entries.get(account)?.lasting ?? NO_RESOURCES
  }

  countRuns (account: string): number {
    return this.#entries.get(account)?.runCount ?? 0
  }
}
