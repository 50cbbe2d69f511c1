import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { KeyValueStore, StoredValue, Watch } from '@hibiscusledge/store/key-value-store.js'
import { JOB_EVENTS } from './job-events.js'
import { parseWorkKey, WORK_KEY_KINDS, WORK_PREFIX } from './job-keys.js'
import { splitWorkListing } from './work-listing.js'

const RELIST_DELAY_MS = 200
/** Changes may be delivered this late and together: the instance that accepts a job announces it, so the watch is only a fallback. */
const WATCH_BATCH_MS = 700

export interface WorkHandler {
  onJob (id: string, record: string): void
  onCancel (id: string): void
}

/** Watches the store for the jobs and cancellations that instances accept. */
export class WorkWatcher {
  readonly #clock: Clock
  readonly #logger: EventLogger
  readonly #store: KeyValueStore
  readonly #handler: WorkHandler
  #watch: Watch | undefined
  #timer: Timer | undefined
  #isStopped = false

  constructor (clock: Clock, logger: EventLogger, store: KeyValueStore, handler: WorkHandler) {
    this.#clock = clock
    this.#logger = logger
    this.#store = store
    this.#handler = handler
  }

  /** Watches all changes after a revision. */
  start (afterRevision: number): void {
    if (this.#isStopped) return
    this.#watch = this.#store.watchPrefix(WORK_PREFIX, afterRevision + 1, {
      onEvents: (events) => { for (const event of events) if (event.type === 'put') this.#apply(event.value) },
      onClosed: (reason) => {
        this.#logger.logWarning(JOB_EVENTS.watchClosed, { prefix: WORK_PREFIX, reason })
        this.#scheduleList()
      }
    }, WATCH_BATCH_MS)
  }

  stop (): void {
    this.#isStopped = true
    this.#watch?.close()
    this.#timer?.cancel()
  }

  #scheduleList (): void {
    this.#timer = this.#clock.startTimer(RELIST_DELAY_MS, () => { void this.#list() })
  }

  async #list (): Promise<void> {
    const listing = await this.#store.listPrefix(WORK_PREFIX, 'critical')
    if (this.#isStopped) return
    if (listing.err) return this.#scheduleList()
    const { jobs, cancelledIds } = splitWorkListing(listing.val.values)
    for (const { id, record } of jobs) this.#handler.onJob(id, record)
    for (const id of cancelledIds) this.#handler.onCancel(id)
    this.start(listing.val.revision)
  }

  /** Applies one change. Changes arrive in the order in which they were stored. */
  #apply (value: StoredValue): void {
    const key = parseWorkKey(value.key)
    if (key === undefined) return
    if (key.kind === WORK_KEY_KINDS.cancel) this.#handler.onCancel(key.id)
    else this.#handler.onJob(key.id, value.value)
  }
}
