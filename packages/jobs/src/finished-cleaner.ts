import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { KeyValueStore } from '@hibiscusledge/store/key-value-store.js'
import { FINISHED_PREFIX, OWNER_KEY } from './job-keys.js'
import { decodeFinished } from './progress-record.js'

/** Final states removed in one transaction. */
const DELETES_PER_TRANSACTION = 30
/** A final state is kept longer than asked for, since the clocks of instances may differ. */
const CLOCK_SKEW_MARGIN_MS = 60_000

/** Removes final states from the store once nobody may ask for them any more. */
export class FinishedCleaner {
  readonly #clock: Clock
  readonly #store: KeyValueStore
  readonly #ownerRevision: number
  readonly #retentionMs: number

  constructor (clock: Clock, store: KeyValueStore, ownerRevision: number, retentionMs: number) {
    this.#clock = clock
    this.#store = store
    this.#ownerRevision = ownerRevision
    this.#retentionMs = retentionMs
  }

  /** Removes what is out of date. A failed call is made up for by the next round. */
  async removeExpired (): Promise<void> {
    const listing = await this.#store.listPrefix(FINISHED_PREFIX, 'background')
    if (listing.err) return
    const beforeMs = this.#clock.readWallMs() - this.#retentionMs - CLOCK_SKEW_MARGIN_MS
    const keys = listing.val.values.filter(({ value }) => {
      const record = decodeFinished(value)
      return record.ok && record.val.finishedAtMs < beforeMs
    }).map(({ key }) => key)
    const comparisons = [{ key: OWNER_KEY, modRevision: this.#ownerRevision }]
    for (let next = 0; next < keys.length; next += DELETES_PER_TRANSACTION) {
      const mutations = keys.slice(next, next + DELETES_PER_TRANSACTION).map((key) => ({ type: 'delete', key }) as const)
      await this.#store.commitTransaction({ comparisons, mutations }, 'background')
    }
  }
}
