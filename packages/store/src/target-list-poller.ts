import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import type { Finding } from '@hibiscusledge/runtime/finding.js'
import type { ListedTarget } from './target-list.js'
import type { TargetListing } from './parse-target-list.js'
import type { DetailedTargetList } from './prometheus-target-list.js'

export type TargetListSubscriber = (targets: readonly ListedTarget[]) => void

export const TARGET_LIST_POLL_PERIOD_MS = 1_000

/** Polls the instance list and retains the last one that was fetched without error. */
export class TargetListPoller {
  readonly #list: DetailedTargetList
  readonly #clock: Clock
  readonly #periodMs: number
  readonly #subscribers = new Set<TargetListSubscriber>()
  #timer: Timer | undefined
  #isPolling = false
  #listing: TargetListing | undefined
  #requestedAtMs: number | undefined
  #failureFindings: readonly Finding[] = []

  constructor (list: DetailedTargetList, clock: Clock, periodMs = TARGET_LIST_POLL_PERIOD_MS) {
    this.#list = list
    this.#clock = clock
    this.#periodMs = periodMs
  }

  start (): void {
    if (this.#timer !== undefined) return
    this.#timer = this.#clock.startInterval(this.#periodMs, () => { this.#startPoll() })
    this.#startPoll()
  }

  stop (): void {
    this.#timer?.cancel()
    this.#timer = undefined
  }

  /** Returns the targets of the last list, or none before the first one. */
  listTargets (): readonly ListedTarget[] {
    return this.#listing?.targets ?? []
  }

  /** Returns the findings of the last poll: why it failed, or which entries were invalid. */
  listFindings (): readonly Finding[] {
    return this.#failureFindings.length > 0 ? this.#failureFindings : this.#listing?.findings ?? []
  }

  /** Returns the time since the last list was requested, or undefined before the first one. */
  readAgeMs (): number | undefined {
    return this.#requestedAtMs === undefined ? undefined : this.#clock.readMonotonicMs() - this.#requestedAtMs
  }

  /** Calls `subscriber` with the current list, if any, and with every later one. Returns a function that unsubscribes. */
  subscribe (subscriber: TargetListSubscriber): () => void {
    this.#subscribers.add(subscriber)
    if (this.#listing !== undefined) subscriber(this.#listing.targets)
    return () => { this.#subscribers.delete(subscriber) }
  }

  /** Fetches the list. When that fails, the last list is retained. */
  async poll (): Promise<void> {
    // Only one request at a time, so that a slow response can't replace a newer one.
    if (this.#isPolling) return
    this.#isPolling = true
    const requestedAtMs = this.#clock.readMonotonicMs()
    try {
      const result = await this.#list.fetchListing()
      this.#failureFindings = result.ok ? [] : result.val
      if (!result.ok) return
      this.#listing = result.val
      this.#requestedAtMs = requestedAtMs
      for (const subscriber of [...this.#subscribers]) subscriber(result.val.targets)
    } finally {
      this.#isPolling = false
    }
  }

  #startPoll (): void {
    this.poll().catch((error: unknown) => {
      this.#failureFindings = [{ code: 'instanceListSubscriber', place: 'instances', message: String(error) }]
    })
  }
}
