import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { KeyValueStore, PrefixListing, StoredValue, Watch, WatchEvent } from '@hibiscusledge/store/key-value-store.js'
import { PEER_LOG_EVENTS } from './peer-log-events.js'

type KeyListener = (keys: readonly string[]) => void

const WATCH_RETRY_DELAY_MS = 500
const MAX_TOMBSTONES = 4_096

/** Local copy of some prefixes of the store, updated by watches and by periodic listings. No key returns to an older revision. */
export class StoreCache {
  readonly #store: KeyValueStore
  readonly #clock: Clock
  readonly #logger: EventLogger
  readonly #prefixes: readonly string[]
  readonly #listingPeriodMs: number
  readonly #values = new Map<string, StoredValue>()
  readonly #tombstones = new Map<string, number>()
  readonly #listeners: KeyListener[] = []
  readonly #watches = new Map<string, Watch>()
  readonly #pollingPrefixes = new Set<string>()
  readonly #timers: Timer[] = []
  readonly #listedPrefixes = new Set<string>()
  #isStopped = false
  #lastContactMs = Number.NEGATIVE_INFINITY

  constructor (store: KeyValueStore, clock: Clock, logger: EventLogger, prefixes: readonly string[], listingPeriodMs: number) {
    this.#store = store
    this.#clock = clock
    this.#logger = logger
    this.#prefixes = prefixes
    this.#listingPeriodMs = listingPeriodMs
  }

  start (): void {
    for (const prefix of this.#prefixes) {
      void this.refreshPrefix(prefix)
      this.#timers.push(this.#clock.startInterval(this.#listingPeriodMs, () => { void this.#pollPrefix(prefix) }))
    }
  }

  stop (): void {
    this.#isStopped = true
    for (const timer of this.#timers) timer.cancel()
    for (const watch of this.#watches.values()) watch.close()
    this.#watches.clear()
  }

  /** Calls `listener` with the changed keys after each change. */
  subscribe (listener: KeyListener): void {
    this.#listeners.push(listener)
  }

  find (key: string): StoredValue | undefined {
    return this.#values.get(key)
  }

  list (prefix: string): StoredValue[] {
    return [...this.#values.values()].filter((value) => value.key.startsWith(prefix))
  }

  /** Whether every prefix has been listed at least once. */
  isComplete (): boolean {
    return this.#prefixes.every((prefix) => this.#listedPrefixes.has(prefix))
  }

  /** Returns the monotonic time of the last response of the store; negative infinity before the first. */
  readLastContactMs (): number {
    return this.#lastContactMs
  }

  /** Records that the store has just responded. */
  recordContact (): void {
    this.#lastContactMs = this.#clock.readMonotonicMs()
  }

  /** Lists a prefix now and opens its watch if there is none. Returns false when the listing failed. */
  async refreshPrefix (prefix: string): Promise<boolean> {
    const listing = await this.#store.listPrefix(prefix, 'background')
    if (this.#isStopped || listing.err) return false
    this.recordContact()
    this.#listedPrefixes.add(prefix)
    this.#applyListing(prefix, listing.val)
    if (!this.#watches.has(prefix)) this.#openWatch(prefix, listing.val.revision + 1)
    return true
  }

  /** Applies values that this instance has just written or read. */
  applyValues (values: readonly StoredValue[]): void {
    this.#notify(values.filter((value) => this.#applyPut(value)).map((value) => value.key))
  }

  async #pollPrefix (prefix: string): Promise<void> {
    if (this.#isStopped || this.#pollingPrefixes.has(prefix)) return
    this.#pollingPrefixes.add(prefix)
    await this.refreshPrefix(prefix)
    this.#pollingPrefixes.delete(prefix)
  }

  #openWatch (prefix: string, fromRevision: number): void {
    const state = { isClosed: false }
    const watch = this.#store.watchPrefix(prefix, fromRevision, {
      onEvents: (events) => { if (!state.isClosed && !this.#isStopped) this.#applyEvents(events) },
      onClosed: (reason) => {
        if (state.isClosed || this.#isStopped) return
        state.isClosed = true
        this.#logger.logWarning(PEER_LOG_EVENTS.watchClosed, { prefix, reason })
        this.#watches.delete(prefix)
        this.#clock.startTimer(WATCH_RETRY_DELAY_MS, () => { void this.#pollPrefix(prefix) })
      }
    })
    if (!state.isClosed) this.#watches.set(prefix, watch)
  }

  #applyEvents (events: readonly WatchEvent[]): void {
    this.recordContact()
    const changed = events.filter((event) => event.type === 'put' ? this.#applyPut(event.value) : this.#applyDelete(event.key, event.modRevision))
    this.#notify(changed.map((event) => event.type === 'put' ? event.value.key : event.key))
  }

  #applyListing (prefix: string, listing: PrefixListing): void {
    const present = new Set(listing.values.map((value) => value.key))
    const changed = listing.values.filter((value) => this.#applyPut(value)).map((value) => value.key)
    for (const key of [...this.#values.keys()]) {
      if (key.startsWith(prefix) && !present.has(key) && this.#applyDelete(key, listing.revision)) changed.push(key)
    }
    this.#notify(changed)
  }

  #applyPut (value: StoredValue): boolean {
    const knownRevision = this.#values.get(value.key)?.modRevision ?? this.#tombstones.get(value.key) ?? 0
    if (value.modRevision <= knownRevision) return false
    this.#tombstones.delete(value.key)
    this.#values.set(value.key, value)
    return true
  }

  #applyDelete (key: string, revision: number): boolean {
    const known = this.#values.get(key)
    if (known !== undefined && known.modRevision > revision) return false
    this.#tombstones.delete(key)
    this.#tombstones.set(key, revision)
    if (this.#tombstones.size > MAX_TOMBSTONES) this.#tombstones.delete(this.#tombstones.keys().next().value ?? '')
    return this.#values.delete(key)
  }

  #notify (keys: readonly string[]): void {
    if (keys.length === 0) return
    for (const listener of this.#listeners) listener(keys)
  }
}
