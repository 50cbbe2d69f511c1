import type { MemberDirectory } from '@hibiscusledge/peer/member-directory.js'
import type { RateLimitedStore } from '@hibiscusledge/store/rate-limited-store.js'
import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import type { Settings } from './setting-table.js'

const UPDATE_PERIOD_MS = 1000

/** Divides the site's rate limits for store calls equally between the known members and sets this instance's part periodically. */
export class StoreRateLimitDivider {
  readonly #store: RateLimitedStore
  readonly #membership: MemberDirectory
  readonly #settings: Pick<Settings, 'storeReadsPerSecond' | 'storeWritesPerSecond'>
  readonly #clock: Clock
  #timer: Timer | undefined

  constructor (
    store: RateLimitedStore, membership: MemberDirectory, settings: Pick<Settings, 'storeReadsPerSecond' | 'storeWritesPerSecond'>, clock: Clock
  ) {
    this.#store = store
    this.#membership = membership
    this.#settings = settings
    this.#clock = clock
  }

  start (): void {
    this.#timer = this.#clock.startInterval(UPDATE_PERIOD_MS, () => { this.#updateRates() })
  }

  stop (): void {
    this.#timer?.cancel()
  }

  #updateRates (): void {
    const members = Math.max(1, this.#membership.listRecords().length)
    this.#store.setRates({
      readsPerSecond: this.#settings.storeReadsPerSecond / members, writesPerSecond: this.#settings.storeWritesPerSecond / members
    })
  }
}
