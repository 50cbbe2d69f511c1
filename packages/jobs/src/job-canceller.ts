import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { KeyValueStore } from '@hibiscusledge/store/key-value-store.js'
import { isRecordVisible, UNRESTRICTED_VIEWER, type JobViewer } from './accounts/job-viewer.js'
import { formatCancelKey, formatFinishedKey, formatJobKey } from './job-keys.js'
import { decodeFinished } from './progress-record.js'

const RETRY_DELAY_MS = 60

export const CANCEL_OUTCOMES = {
  /** The cancellation is stored. */
  stored: 'stored',
  /** No such job was accepted, or it isn't visible to the caller. */
  noSuchJob: 'noSuchJob',
  /** The store did not answer in time. */
  unknown: 'unknown'
} as const
export type CancelOutcome = typeof CANCEL_OUTCOMES[keyof typeof CANCEL_OUTCOMES]

/** Stores cancellations of jobs, directly or through another instance. */
export class JobCanceller {
  readonly #clock: Clock
  readonly #store: KeyValueStore
  readonly #onStored: (id: string) => void
  readonly #relay: (id: string, viewer: JobViewer) => Promise<CancelOutcome | undefined>

  /** `relay` has another instance store the cancellation while the store refuses this one; undefined without an answer. */
  constructor (
    clock: Clock,
    store: KeyValueStore,
    onStored: (id: string) => void,
    relay: (id: string, viewer: JobViewer) => Promise<CancelOutcome | undefined>
  ) {
    this.#clock = clock
    this.#store = store
    this.#onStored = onStored
    this.#relay = relay
  }

  /** Retries until the cancellation is stored, the job is known not to exist or the deadline on the monotonic clock has passed. */
  async cancelJob (id: string, deadlineMs: number, viewer: JobViewer = UNRESTRICTED_VIEWER): Promise<CancelOutcome> {
    while (true) {
      const outcome = await this.tryCancel(id, viewer) ?? await this.#relay(id, viewer)
      if (outcome !== undefined && outcome !== CANCEL_OUTCOMES.unknown) return outcome
      if (this.#clock.readMonotonicMs() >= deadlineMs) return CANCEL_OUTCOMES.unknown
      await new Promise<void>((resolve) => { this.#clock.startTimer(RETRY_DELAY_MS, resolve) })
    }
  }

  /** Makes one attempt to store a cancellation; undefined when the store failed or the job's record can't be read or has changed. */
  async tryCancel (id: string, viewer: JobViewer): Promise<CancelOutcome | undefined> {
    const job = await this.#store.readKey(formatJobKey(id), 'critical')
    if (job.err) return undefined
    if (job.val === undefined) return await this.#checkFinished(id, viewer)
    const isVisible = isRecordVisible(job.val.value, viewer)
    if (isVisible.err) return undefined
    if (!isVisible.val) return CANCEL_OUTCOMES.noSuchJob
    const result = await this.#store.commitTransaction({
      comparisons: [{ key: formatJobKey(id), modRevision: job.val.modRevision }],
      mutations: [{ type: 'put', key: formatCancelKey(id), value: '1' }]
    }, 'critical')
    if (result.err || !result.val.isCommitted) return undefined
    this.#onStored(id)
    return CANCEL_OUTCOMES.stored
  }

  /** Looks up a job without a record of its own. Cancelling a finished job succeeds without effect. */
  async #checkFinished (id: string, viewer: JobViewer): Promise<CancelOutcome | undefined> {
    const finished = await this.#store.readKey(formatFinishedKey(id), 'critical')
    if (finished.err) return undefined
    if (finished.val === undefined) return CANCEL_OUTCOMES.noSuchJob
    if (!viewer.isRestricted) return CANCEL_OUTCOMES.stored
    const record = decodeFinished(finished.val.value)
    if (record.err) return undefined
    return viewer.isVisible(record.val.account) ? CANCEL_OUTCOMES.stored : CANCEL_OUTCOMES.noSuchJob
  }
}
