import type { Mutation, StoredValue, WatchEvent } from './key-value-store.js'

export interface KeyCondition {
  readonly key: string
  readonly field: 'modRevision' | 'createRevision' | 'value'
  readonly expected: number | string
}

export interface KeySpaceChange {
  readonly revision: number
  readonly events: readonly WatchEvent[]
}

export interface KeySpaceOutcome {
  readonly isCommitted: boolean
  readonly revision: number
}

export type KeySpaceError = 'duplicateKey' | 'leaseNotFound' | 'tooLarge' | 'tooManyOperations'

interface Lease {
  readonly ttlMs: number
  expiresAtMs: number
}

// Default of etcd's `--max-txn-ops`.
const MAX_TRANSACTION_OPERATIONS = 128
// The platform's limit for a value.
const MAX_VALUE_BYTES = 1024 * 1024
// Limits the memory of long runs. A watch that starts before the oldest retained change is refused as compacted.
const MAX_HISTORY_CHANGES = 20_000

/** A model of etcd's keys with revisions, leases and history, for the in-memory store and the stand-in of the gateway. */
export class KeySpace {
  readonly #values = new Map<string, StoredValue>()
  readonly #leases = new Map<string, Lease>()
  readonly #history: KeySpaceChange[] = []
  readonly #subscribers = new Set<(change: KeySpaceChange) => void>()
  #revision = 1
  #compactedRevision = 0
  #nextLeaseId = 1000

  readRevision (): number {
    return this.#revision
  }

  readCompactedRevision (): number {
    return this.#compactedRevision
  }

  readKey (key: string): StoredValue | undefined {
    return this.#values.get(key)
  }

  /** Returns the values whose keys have the prefix, ordered by key. */
  listPrefix (prefix: string): StoredValue[] {
    return [...this.#values.values()].filter(({ key }) => key.startsWith(prefix)).sort((left, right) => left.key < right.key ? -1 : 1)
  }

  /** Returns the changes with a revision of `fromRevision` or later, or undefined when some of them have been compacted. */
  listHistory (fromRevision: number): readonly KeySpaceChange[] | undefined {
    if (fromRevision <= this.#compactedRevision) return undefined
    return this.#history.filter(({ revision }) => revision >= fromRevision)
  }

  /** Forgets all changes so far, so that no watch can continue from before the current revision. */
  dropHistory (): void {
    this.#history.length = 0
    this.#compactedRevision = this.#revision
  }

  /** Calls `subscriber` for every later change. Returns a function that unsubscribes. */
  subscribe (subscriber: (change: KeySpaceChange) => void): () => void {
    this.#subscribers.add(subscriber)
    return () => { this.#subscribers.delete(subscriber) }
  }

  /** Applies all mutations when all conditions are met, otherwise none. Returns an error when etcd would reject the transaction. */
  commit (conditions: readonly KeyCondition[], mutations: readonly Mutation[]): KeySpaceOutcome | KeySpaceError {
    if (Math.max(conditions.length, mutations.length) > MAX_TRANSACTION_OPERATIONS) return 'tooManyOperations'
    if (mutations.some((mutation) => mutation.type === 'put' && Buffer.byteLength(mutation.value) > MAX_VALUE_BYTES)) return 'tooLarge'
    if (hasDuplicateKey(mutations)) return 'duplicateKey'
    if (!conditions.every((condition) => this.#isConditionMet(condition))) return { isCommitted: false, revision: this.#revision }
    for (const mutation of mutations) {
      if (mutation.type === 'put' && (mutation.leaseId ?? '') !== '' && !this.#leases.has(mutation.leaseId ?? '')) return 'leaseNotFound'
    }
    this.#applyMutations(mutations)
    return { isCommitted: true, revision: this.#revision }
  }

  grantLease (ttlMs: number, nowMs: number): string {
    const leaseId = String(this.#nextLeaseId++)
    this.#leases.set(leaseId, { ttlMs, expiresAtMs: nowMs + ttlMs })
    return leaseId
  }

  /** Returns the remaining time in milliseconds, or 0 when the lease does not exist. */
  renewLease (leaseId: string, nowMs: number): number {
    this.expireLeases(nowMs)
    const lease = this.#leases.get(leaseId)
    if (lease === undefined) return 0
    lease.expiresAtMs = nowMs + lease.ttlMs
    return lease.ttlMs
  }

  /** Deletes the lease and its keys. Returns false when the lease does not exist. */
  revokeLease (leaseId: string): boolean {
    if (!this.#leases.delete(leaseId)) return false
    const keys = [...this.#values.values()].filter((value) => value.leaseId === leaseId)
    this.#applyMutations(keys.map(({ key }) => ({ type: 'delete', key })))
    return true
  }

  listLeases (): string[] {
    return [...this.#leases.keys()]
  }

  expireLeases (nowMs: number): void {
    for (const [leaseId, lease] of [...this.#leases]) {
      if (lease.expiresAtMs <= nowMs) this.revokeLease(leaseId)
    }
  }

  #isConditionMet (condition: KeyCondition): boolean {
    const current = this.#values.get(condition.key)
    switch (condition.field) {
      case 'modRevision': return (current?.modRevision ?? 0) === condition.expected
      case 'createRevision': return (current?.createRevision ?? 0) === condition.expected
      // In etcd a comparison with the value of a missing key fails.
      case 'value': return current !== undefined && current.value === condition.expected
    }
  }

  #applyMutations (mutations: readonly Mutation[]): void {
    const revision = this.#revision + 1
    const events = mutations.flatMap((mutation) => this.#applyMutation(mutation, revision))
    if (events.length === 0) return
    this.#revision = revision
    const change = { revision, events }
    this.#history.push(change)
    if (this.#history.length > MAX_HISTORY_CHANGES * 2) {
      this.#history.splice(0, MAX_HISTORY_CHANGES)
      this.#compactedRevision = (this.#history[0]?.revision ?? 1) - 1
    }
    for (const subscriber of [...this.#subscribers]) subscriber(change)
  }

  #applyMutation (mutation: Mutation, revision: number): WatchEvent[] {
    if (mutation.type === 'put') {
      const { key, value } = mutation
      const createRevision = this.#values.get(key)?.createRevision ?? revision
      const stored: StoredValue = { key, value, createRevision, modRevision: revision, leaseId: mutation.leaseId ?? '' }
      this.#values.set(key, stored)
      return [{ type: 'put', value: stored }]
    }
    const keys = mutation.type === 'delete' ? [mutation.key] : this.listPrefix(mutation.prefix).map(({ key }) => key)
    return keys.filter((key) => this.#values.delete(key)).map((key) => ({ type: 'delete', key, modRevision: revision }))
  }
}

// etcd rejects a transaction that puts a key twice, or both puts and deletes a key.
function hasDuplicateKey (mutations: readonly Mutation[]): boolean {
  const puts = new Set<string>()
  for (const mutation of mutations) {
    if (mutation.type !== 'put') continue
    if (puts.has(mutation.key)) return true
    puts.add(mutation.key)
  }
  return mutations.some((mutation) => {
    if (mutation.type === 'put') return false
    if (mutation.type === 'delete') return puts.has(mutation.key)
    return [...puts].some((key) => key.startsWith(mutation.prefix))
  })
}
