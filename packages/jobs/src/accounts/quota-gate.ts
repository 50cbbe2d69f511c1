import type { ReadyStep } from '../job-table.js'
import type { JobStep, Resources } from '../job.js'
import type { ReadAccounts } from './account-table.js'
import type { AccountUsage } from './account-usage.js'
import { KnownAccounts } from './known-accounts.js'
import { QuotaHolds } from './quota-holds.js'

/** A round considers work of an account until it demands this multiple of the quota that the account had left. */
const CONSIDERED_QUOTA_FACTOR = 2

/**
 * Decides how many tasks an account may start, from its quota and what its runs use. Until a new owner has read a configuration, jobs with
 * an account wait, since the quota may be used up.
 */
export class QuotaGate {
  readonly #accounts: KnownAccounts
  readonly #usage: AccountUsage
  readonly #holds = new QuotaHolds()
  readonly #onBlocked: (ready: ReadyStep, account: string) => void
  /** Demand of the work considered in this round by service and account, as a share of the quota left when it began. */
  readonly #demands = new Map<string, Map<string, number>>()
  readonly #leftAtFirst = new Map<string, Resources>()
  #isActive = false

  /** `onBlocked` is called in each round for each step of which the quota leaves room for no task. */
  constructor (readAccounts: ReadAccounts, usage: AccountUsage, onBlocked: (ready: ReadyStep, account: string) => void) {
    this.#accounts = new KnownAccounts(readAccounts)
    this.#usage = usage
    this.#onBlocked = onBlocked
  }

  /** Begins a placement round with the newest quotas. */
  beginRound (nowMs: number): void {
    this.#holds.beginRound(nowMs)
    this.#accounts.refresh()
    this.#isActive = !this.#accounts.isEmpty()
    this.#demands.clear()
    this.#leftAtFirst.clear()
  }

  /**
   * Returns how many of a step's pending tasks the account may start now: all or none of a gang. Runs placed in this round count.
   * `isPlaceable`: whether the targets could hold the step if they ran only what lasts.
   */
  countStartable (ready: ReadyStep, pendingCount: number, isPlaceable: () => boolean = () => true): number {
    const { account } = ready.progress.job
    if (account !== undefined && this.#accounts.isUnread()) return this.#refuse(ready, account)
    const quota = this.#findQuota(account)
    if (account === undefined || quota === undefined) return pendingCount
    const { step } = ready.step
    const canFit = step.isGang && countWithin(quota, this.#usage.readLasting(account), step.size) >= pendingCount
    if (canFit) this.#holds.recordWaiting(account, ready, isPlaceable)
    const count = countWithin(quota, this.#holds.addHeld(account, ready.step, this.#usage.read(account)), step.size)
    if (count >= pendingCount) return pendingCount
    return step.isGang || count === 0 ? this.#refuse(ready, account) : count
  }

  /** Whether the round has considered enough work of an account for a service. */
  isDemandLimitReached (account: string | undefined, service: string): boolean {
    if (!this.#isActive || account === undefined) return false
    return (this.#demands.get(service)?.get(account) ?? 0) >= CONSIDERED_QUOTA_FACTOR
  }

  /** Adds the demand of tasks that the round considers. */
  addDemand (account: string | undefined, service: string, { size }: JobStep, count: number): void {
    const quota = this.#findQuota(account)
    if (account === undefined || quota === undefined) return
    let left = this.#leftAtFirst.get(account)
    if (left === undefined) {
      left = computeLeft(quota, this.#usage.read(account))
      this.#leftAtFirst.set(account, left)
    }
    const share = count * Math.max(
      computeShare(size.cpuMillis, left.cpuMillis),
      computeShare(size.memoryMb, left.memoryMb),
      computeShare(size.accelerators, left.accelerators)
    )
    const demands = this.#demands.get(service) ?? new Map<string, number>()
    this.#demands.set(service, demands)
    demands.set(account, (demands.get(account) ?? 0) + share)
  }

  #refuse (ready: ReadyStep, account: string): number {
    this.#onBlocked(ready, account)
    return 0
  }

  #findQuota (account: string | undefined): Resources | undefined {
    return this.#isActive && account !== undefined ? this.#accounts.find(account)?.quota : undefined
  }
}

/** Returns how many tasks of a size fit into what is left of a quota; none while more than the quota is used of any resource. */
function countWithin (quota: Resources, used: Resources, size: Resources): number {
  return Math.min(
    countWithinLimit(quota.cpuMillis, used.cpuMillis, size.cpuMillis),
    countWithinLimit(quota.memoryMb, used.memoryMb, size.memoryMb),
    countWithinLimit(quota.accelerators, used.accelerators, size.accelerators)
  )
}

function countWithinLimit (limit: number, used: number, size: number): number {
  if (limit <= 0) return Number.POSITIVE_INFINITY
  if (used > limit) return 0
  if (size <= 0) return Number.POSITIVE_INFINITY
  const left = limit - used
  const count = Math.floor(left / size)
  // The quotient of fractions may be rounded down although the product, by which jobs are refused, is within the quota.
  return size * (count + 1) <= left ? count + 1 : count
}

function computeLeft (quota: Resources, used: Resources): Resources {
  return {
    cpuMillis: subtractFromLimit(quota.cpuMillis, used.cpuMillis),
    memoryMb: subtractFromLimit(quota.memoryMb, used.memoryMb),
    accelerators: subtractFromLimit(quota.accelerators, used.accelerators)
  }
}

function subtractFromLimit (limit: number, used: number): number {
  return limit > 0 ? Math.max(0, limit - used) : Number.POSITIVE_INFINITY
}

function computeShare (size: number, left: number): number {
  return size > 0 ? size / left : 0
}
