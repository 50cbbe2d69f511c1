import type { Result } from '@hibiscusledge/runtime/result.js'
import type { StoreError } from './store-error.js'

/** A key with its value and revisions. */
export interface StoredValue {
  readonly key: string
  readonly value: string
  readonly createRevision: number
  readonly modRevision: number
  /** Empty when the key has no lease. */
  readonly leaseId: string
}

/** A condition of a transaction: the key has this modification revision. 0 means that the key must not exist. */
export interface Comparison {
  readonly key: string
  readonly modRevision: number
}

export type Mutation =
  | { readonly type: 'put', readonly key: string, readonly value: string, readonly leaseId?: string }
  | { readonly type: 'delete', readonly key: string }
  | { readonly type: 'deletePrefix', readonly prefix: string }

/** All mutations take effect when all comparisons hold, otherwise none. */
export interface Transaction {
  readonly comparisons: readonly Comparison[]
  readonly mutations: readonly Mutation[]
}

export interface TransactionOutcome {
  /** False when a comparison did not hold. */
  readonly isCommitted: boolean
  readonly revision: number
}

export interface PrefixListing {
  readonly revision: number
  readonly values: readonly StoredValue[]
}

export type WatchEvent =
  | { readonly type: 'put', readonly value: StoredValue }
  | { readonly type: 'delete', readonly key: string, readonly modRevision: number }

export interface WatchHandler {
  onEvents (events: readonly WatchEvent[], revision: number): void
  /** Called when the watch has ended. The caller must list the prefix again before it opens a new watch. */
  onClosed (reason: string): void
}

export interface Watch {
  close (): void
}

/** Priority of a call that waits for the rate limit: `critical` for lease renewals and commits, `background` for polls. */
export type CallPriority = 'critical' | 'background'

/** The platform's key-value store. */
export interface KeyValueStore {
  readKey (key: string, priority: CallPriority): Promise<Result<StoredValue | undefined, StoreError>>
  listPrefix (prefix: string, priority: CallPriority): Promise<Result<PrefixListing, StoreError>>
  commitTransaction (transaction: Transaction, priority: CallPriority): Promise<Result<TransactionOutcome, StoreError>>
  grantLease (ttlSeconds: number): Promise<Result<string, StoreError>>
  /** Returns the remaining seconds. Fails with `leaseNotFound` when the lease has expired. */
  renewLease (leaseId: string): Promise<Result<number, StoreError>>
  revokeLease (leaseId: string): Promise<Result<void, StoreError>>
  /**
   * Watches for changes with a revision of `fromRevision` or later; 0 starts at the next change. The store may deliver changes
   * within `batchWindowMs` together.
   */
  watchPrefix (prefix: string, fromRevision: number, handler: WatchHandler, batchWindowMs?: number): Watch
}
