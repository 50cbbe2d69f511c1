import type { JobProgress } from '../job-progress.js'
import { computeLateEndMs } from '../urgency.js'
import type { ReadAccounts } from './account-table.js'
import { KnownAccounts } from './known-accounts.js'

/** Seconds of its weight that an account's bucket holds, so that a short burst stays within the share. */
const BUCKET_SECONDS = 2
const MINIMUM_BUCKET_SIZE = 1

/** Tokens of one account, each for one job. */
interface Bucket {
  tokens: number
  /** Monotonic time up to which the bucket has been refilled. */
  refilledAtMs: number
}

/** Classifies jobs by a token bucket for each account that refills at the account's guaranteed rate. */
export class AccountShares {
  readonly #accounts: KnownAccounts
  readonly #buckets = new Map<string, Bucket>()
  /** Monotonic time until which each job that found no token is beyond its share. */
  readonly #beyondUntilMs = new WeakMap<JobProgress, number>()

  constructor (readAccounts: ReadAccounts) {
    this.#accounts = new KnownAccounts(readAccounts)
  }

  /** Takes a token for a job, or marks it as beyond the share if there is none. Call it once for each job, in the order of acceptance. */
  classify (progress: JobProgress): void {
    const { account } = progress.job
    this.#accounts.refresh()
    if (account === undefined || this.#accounts.isEmpty()) return
    const weight = this.#accounts.find(account)?.weight
    if (weight === undefined) return
    const bucket = this.#refillBucket(account, weight, progress.acceptedAtMs)
    if (bucket.tokens >= 1) {
      bucket.tokens--
      return
    }
    // The limit keeps a job that is beyond its share from waiting for good.
    this.#beyondUntilMs.set(progress, computeLateEndMs(progress))
  }

  /** Whether a job is beyond its account's share and has not yet waited for long enough to be ordered like any other. */
  isBeyondShare (progress: JobProgress, nowMs: number): boolean {
    const untilMs = this.#beyondUntilMs.get(progress)
    if (untilMs === undefined || nowMs >= untilMs) return false
    this.#accounts.refresh()
    return !this.#accounts.isEmpty()
  }

  /** Refills the bucket of an account up to a time. */
  #refillBucket (account: string, weight: number, nowMs: number): Bucket {
    const bucket = this.#buckets.get(account)
    const size = Math.max(MINIMUM_BUCKET_SIZE, weight * BUCKET_SECONDS)
    if (bucket === undefined) {
      const full: Bucket = { tokens: size, refilledAtMs: nowMs }
      this.#buckets.set(account, full)
      return full
    }
    // Acceptance times of recovered jobs come from the clocks of several instances, so they may go back.
    const passedMs = Math.max(0, nowMs - bucket.refilledAtMs)
    bucket.tokens = Math.min(size, bucket.tokens + weight * passedMs / 1_000)
    bucket.refilledAtMs += passedMs
    return bucket
  }
}
