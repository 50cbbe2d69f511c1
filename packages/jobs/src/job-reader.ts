import type { PeerNetwork } from '@hibiscusledge/peer/peer-network.js'
import { toInstanceId } from '@hibiscusledge/runtime/identifiers.js'
import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import type { KeyValueStore } from '@hibiscusledge/store/key-value-store.js'
import { z } from 'zod'
import { isRecordVisible, UNRESTRICTED_VIEWER, type JobViewer } from './accounts/job-viewer.js'
import { formatFinishedKey, formatJobKey, formatProgressKey } from './job-keys.js'
import { JOB_MESSAGES } from './job-messages.js'
import { JOB_STATES, type JobState } from './job.js'
import { decodeFinished, decodeProgress } from './progress-record.js'

/** The owner answers from memory. Without an answer in this time the store is read instead. */
const OWNER_TIMEOUT_MS = 300

/** `account` is null for a job without an account. It is left out by owners that don't know accounts, and when not asked for. */
const stateSchema = z.object({ state: z.enum(JOB_STATES), account: z.string().nullish() })
const countSchema = z.object({ waiting: z.number().int().nonnegative() })

/** Reads the state of jobs from the owner, or from the store when the owner is unknown or doesn't answer. */
export class JobReader {
  readonly #network: PeerNetwork
  readonly #store: KeyValueStore
  readonly #readOwner: () => string | undefined

  constructor (network: PeerNetwork, store: KeyValueStore, readOwner: () => string | undefined) {
    this.#network = network
    this.#store = store
    this.#readOwner = readOwner
  }

  /**
   * Returns the state of a job; undefined when it was never accepted or isn't visible; an error when neither the owner nor the
   * store answers.
   */
  async readState (id: string, viewer: JobViewer = UNRESTRICTED_VIEWER): Promise<Result<JobState | undefined, string>> {
    const answer = await this.#askOwner(JOB_MESSAGES.readJob, viewer.isRestricted ? { id, withAccount: true } : { id })
    const parsed = stateSchema.safeParse(answer)
    if (parsed.success && (!viewer.isRestricted || parsed.data.account !== undefined)) {
      return Ok(viewer.isVisible(parsed.data.account ?? undefined) ? parsed.data.state : undefined)
    }
    return await this.#readFromStore(id, viewer)
  }

  /** Returns the number of jobs of a queue that have not started; undefined when the owner is unknown or doesn't answer. */
  async countWaiting (queue: string): Promise<number | undefined> {
    const parsed = countSchema.safeParse(await this.#askOwner(JOB_MESSAGES.countWaiting, { queue }))
    return parsed.success ? parsed.data.waiting : undefined
  }

  async #askOwner (kind: string, body: unknown): Promise<unknown> {
    const owner = this.#readOwner()
    if (owner === undefined) return undefined
    const result = await this.#network.sendRequest(toInstanceId(owner), kind, body, OWNER_TIMEOUT_MS)
    return result.ok ? result.val : undefined
  }

  /** Reads what the owner has stored. A cancellation doesn't count: the job may be completed before the owner learns of it. */
  async #readFromStore (id: string, viewer: JobViewer): Promise<Result<JobState | undefined, string>> {
    const job = await this.#store.readKey(formatJobKey(id), 'critical')
    if (job.err) return Err(job.val.message)
    if (job.val === undefined) return await this.#readFinished(id, viewer)
    const isVisible = isRecordVisible(job.val.value, viewer)
    if (isVisible.err) return Err(isVisible.val)
    if (!isVisible.val) return Ok(undefined)
    const progress = await this.#store.readKey(formatProgressKey(id), 'critical')
    if (progress.err) return Err(progress.val.message)
    // The job may have been finished since its record was read, which deletes its progress.
    if (progress.val === undefined) return (await this.#readFinished(id, viewer)).map((state) => state ?? JOB_STATES.queued)
    return decodeProgress(progress.val.value).map((record) => record.state)
  }

  /**
   * A job without a record has finished or was never accepted. The final state must be read after the record, since finishing
   * a job deletes the record.
   */
  async #readFinished (id: string, viewer: JobViewer): Promise<Result<JobState | undefined, string>> {
    const finished = await this.#store.readKey(formatFinishedKey(id), 'critical')
    if (finished.err) return Err(finished.val.message)
    if (finished.val === undefined) return Ok(undefined)
    return decodeFinished(finished.val.value).map((record) => viewer.isVisible(record.account) ? record.state : undefined)
  }
}
