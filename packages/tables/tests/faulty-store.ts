import type { KeyValueStore, PrefixListing, StoredValue, Transaction, TransactionOutcome, Watch } from '@hibiscusledge/store/key-value-store.js'
import type { StoreError } from '@hibiscusledge/store/store-error.js'
import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'

/** With `lateRequest` the commit takes effect just before the next one, after a read has not found it. */
export type CommitFault = 'lostReply' | 'lostRequest' | 'lateRequest' | 'unavailable'

const TIMEOUT: StoreError = { code: 'timeout', message: 'no reply', isEffectUnknown: true }
const UNAVAILABLE: StoreError = { code: 'unavailable', message: 'no connection', isEffectUnknown: false }

/** In-memory store of single keys whose next commits can be made to fail. */
export class FaultyStore implements KeyValueStore {
  readonly #values = new Map<string, StoredValue>()
  readonly #faults: CommitFault[] = []
  #delayedTransaction: Transaction | undefined
  #revision = 0
  commitCount = 0
  isReadable = true

  failNextCommits (...faults: readonly CommitFault[]): void {
    this.#faults.push(...faults)
  }

  async readKey (key: string): Promise<Result<StoredValue | undefined, StoreError>> {
    return this.isReadable ? new Ok(this.#values.get(key)) : new Err(UNAVAILABLE)
  }

  async commitTransaction (transaction: Transaction): Promise<Result<TransactionOutcome, StoreError>> {
    const delayed = this.#delayedTransaction
    this.#delayedTransaction = undefined
    if (delayed !== undefined) this.#commit(delayed)
    const fault = this.#faults.shift()
    if (fault === 'unavailable') return new Err(UNAVAILABLE)
    if (fault === 'lateRequest') this.#delayedTransaction = transaction
    if (fault === 'lateRequest' || fault === 'lostRequest') return new Err(TIMEOUT)
    const outcome = this.#commit(transaction)
    return fault === 'lostReply' ? new Err(TIMEOUT) : new Ok(outcome)
  }

  #commit ({ comparisons, mutations }: Transaction): TransactionOutcome {
    const isCommitted = comparisons.every(({ key, modRevision }) => (this.#values.get(key)?.modRevision ?? 0) === modRevision)
    if (isCommitted) {
      this.#revision++
      this.commitCount++
      for (const mutation of mutations) {
        if (mutation.type !== 'put') throw new Error(`unexpected mutation ${mutation.type}`)
        const { key, value } = mutation
        this.#values.set(key, { key, value, createRevision: 1, modRevision: this.#revision, leaseId: '' })
      }
    }
    return { isCommitted, revision: this.#revision }
  }

  async listPrefix (): Promise<Result<PrefixListing, StoreError>> { throw new Error('not used by the tables') }
  async grantLease (): Promise<Result<string, StoreError>> { throw new Error('not used by the tables') }
  async renewLease (): Promise<Result<number, StoreError>> { throw new Error('not used by the tables') }
  async revokeLease (): Promise<Result<void, StoreError>> { throw new Error('not used by the tables') }
  watchPrefix (): Watch { throw new Error('not used by the tables') }
}
