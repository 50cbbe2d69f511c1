import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import type { Finding } from '@hibiscusledge/runtime/finding.js'
import type { ListedTarget } from './instance-list.js'
import type { InstanceListing } from './parse-instance-list.js'
import type { DetailedInstanceList } from './prometheus-instance-list.js'

export type InstanceListSubscriber = (targets: readonly ListedTarget[]) => void

export const INSTANCE_LIST_POLL_PERIOD_MS = 1_000

/** Polls the instance list and keeps the last good one. */
export class InstanceListPoller {
  readonly #list: DetailedInstanceList
  readonly #clock: Clock
  readonly #periodMs: number
  readonly #subscribers = new Set<InstanceListSubscriber>()
  #timer: Timer | undefined
  #isPolling = false
  #listing: InstanceListing | undefined
  #requestedAtMs: number | undefined
  #failureFindings: readonly Finding[] = []

  constructor (list: DetailedInstanceList, clock: Clock, periodMs = INSTANCE_LIST_POLL_PERIOD_MS) {
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

  /** The last good list; empty before the first one. */
  listTargets (): readonly ListedTarget[] {
    return this.#listing?.targets ?? []
  }

  /** Findings of the last poll: of bad entries, or of why there is no new list. */
  listFindings (): readonly Finding[] {
    return this.#failureFindings.length > 0 ? this.#failureFindings : this.#listing?.findings ?? []
  }

  /** Time since the request of the last good list, or undefined before the first one. */
  readAgeMs (): number | undefined {
    return this.#requestedAtMs === undefined ? undefined : this.#clock.readMonotonicMs() - this.#requestedAtMs
  }

  /** Calls `subscriber` with every later good list, and with the present one at once; the returned function ends this. */
  subscribe (subscriber: InstanceListSubscriber): () => void {
    this.#subscribers.add(subscriber)
    if (this.#listing !== undefined) subscriber(this.#listing.targets)
    return () => { this.#subscribers.delete(subscriber) }
  }

  /** Fetches once. A failed fetch leaves the last good list in force. */
  async poll (): Promise<void> {
    // A slow answer must not be overtaken by a newer one, so there is one request at a time.
    if (this.#isPolling) return
    this.#isPolling = true
    const requestedAtMs = this.#clock.readMonotonicMs()
    try {
      const answer = await this.#list.fetchListing()
      this.#failureFindings = answer.ok ? [] : answer.val
      if (!answer.ok) return
      this.#listing = answer.val
      this.#requestedAtMs = requestedAtMs
      for (const subscriber of [...this.#subscribers]) subscriber(answer.val.targets)
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
