import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { KeyValueStore } from '@hibiscusledge/store/key-value-store.js'
import { FINISHED_PREFIX, formatCancelKey, OWNER_KEY } from './job-keys.js'
import { decodeFinished } from './progress-record.js'

/** Final states deleted in one transaction. */
const DELETES_PER_TRANSACTION = 30
/** Added to the retention period, since the clocks of the instances may differ. */
const CLOCK_SKEW_MARGIN_MS = 60_000

/**
 * Deletes the final states of jobs from the store when their retention period has passed, and cancellations that were stored
 * although the job was completed before the owner learned of them.
 */
export class FinishedCleaner {
  readonly #clock: Clock
  readonly #store: KeyValueStore
  readonly #ownerRevision: number
  readonly #retentionMs: number
  readonly #orphanedCancellations = new Set<string>()

  constructor (clock: Clock, store: KeyValueStore, ownerRevision: number, retentionMs: number) {
    this.#clock = clock
    this.#store = store
    this.#ownerRevision = ownerRevision
    this.#retentionMs = retentionMs
  }

  /** Records that a cancellation is stored whose job has no record any more. */
  recordOrphanedCancellation (id: string): void {
    this.#orphanedCancellations.add(id)
  }

  /**
   * Deletes all expired final states and orphaned cancellations while this instance is the owner. After an error the rest is left
   * to the next call.
   */
  async removeExpired (): Promise<void> {
    const listing = await this.#store.listPrefix(FINISHED_PREFIX, 'background')
    if (listing.err) return
    const beforeMs = this.#clock.readWallMs() - this.#retentionMs - CLOCK_SKEW_MARGIN_MS
    const expired = listing.val.values.filter(({ value }) => {
      const record = decodeFinished(value)
      return record.ok && record.val.finishedAtMs < beforeMs
    })
    const orphaned = [...this.#orphanedCancellations]
    const keys = [...expired.map(({ key }) => key), ...orphaned.map(formatCancelKey)]
    const comparisons = [{ key: OWNER_KEY, modRevision: this.#ownerRevision }]
    for (let next = 0; next < keys.length; next += DELETES_PER_TRANSACTION) {
      const mutations = keys.slice(next, next + DELETES_PER_TRANSACTION).map((key) => ({ type: 'delete', key }) as const)
      const result = await this.#store.commitTransaction({ comparisons, mutations }, 'background')
      if (result.err) return
    }
    for (const id of orphaned) this.#orphanedCancellations.delete(id)
  }
}
