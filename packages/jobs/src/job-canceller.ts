import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { KeyValueStore } from '@hibiscusledge/store/key-value-store.js'
import { formatCancelKey, formatFinishedKey, formatJobKey } from './job-keys.js'

const RETRY_MS = 60

export const CANCEL_OUTCOMES = {
  /** The cancellation is stored. */
  stored: 'stored',
  /** No such job was accepted. */
  noSuchJob: 'noSuchJob',
  /** The store did not answer in time. */
  unknown: 'unknown'
} as const
export type CancelOutcome = typeof CANCEL_OUTCOMES[keyof typeof CANCEL_OUTCOMES]

/** Stores cancellations. */
export class JobCanceller {
  readonly #clock: Clock
  readonly #store: KeyValueStore
  readonly #onStored: (id: string) => void
  readonly #relay: (id: string) => Promise<CancelOutcome | undefined>

  /** `relay` has another instance store the cancellation, for while the store refuses this one. */
  constructor (
    clock: Clock, store: KeyValueStore, onStored: (id: string) => void, relay: (id: string) => Promise<CancelOutcome | undefined>
  ) {
    this.#clock = clock
    this.#store = store
    this.#onStored = onStored
    this.#relay = relay
  }

  async cancelJob (id: string, deadlineMs: number): Promise<CancelOutcome> {
    while (true) {
      const outcome = await this.tryCancel(id) ?? await this.#relay(id)
      if (outcome !== undefined && outcome !== CANCEL_OUTCOMES.unknown) return outcome
      if (this.#clock.readMonotonicMs() >= deadlineMs) return CANCEL_OUTCOMES.unknown
      await new Promise<void>((resolve) => { this.#clock.startTimer(RETRY_MS, resolve) })
    }
  }

  /** Stores a cancellation in one attempt; undefined when the store did not answer. */
  async tryCancel (id: string): Promise<CancelOutcome | undefined> {
    const job = await this.#store.readKey(formatJobKey(id), 'critical')
    if (job.err) return undefined
    if (job.val === undefined) return await this.#checkFinished(id)
    const result = await this.#store.commitTransaction({
      comparisons: [{ key: formatJobKey(id), modRevision: job.val.modRevision }],
      mutations: [{ type: 'put', key: formatCancelKey(id), value: '1' }]
    }, 'critical')
    if (result.err || !result.val.isCommitted) return undefined
    this.#onStored(id)
    return CANCEL_OUTCOMES.stored
  }

  /** Cancelling a finished job changes nothing. */
  async #checkFinished (id: string): Promise<CancelOutcome | undefined> {
    const finished = await this.#store.readKey(formatFinishedKey(id), 'critical')
    if (finished.err) return undefined
    return finished.val === undefined ? CANCEL_OUTCOMES.noSuchJob : CANCEL_OUTCOMES.stored
  }
}
