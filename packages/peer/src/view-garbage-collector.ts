import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { KeyValueStore } from '@hibiscusledge/store/key-value-store.js'
import { toUnitId, type InstanceId } from '@hibiscusledge/runtime/identifiers.js'
import { rankOwners } from './ownership-planner.js'
import type { StoreCache } from './store-cache.js'
import { formatMemberKey, parseRecord, VIEW_PREFIX, viewSchema, type MemberRecord } from './store-records.js'

/** A view is deleted only when it has been unused for this long. */
export const VIEW_EXPIRY_MS = 60_000

/**
 * Deletes the views of incarnations that are not alive and that no owner record names: each restart leaves one such view.
 * An incarnation whose alive key comes back writes its view again when it registers.
 */
export class ViewGarbageCollector {
  readonly #store: KeyValueStore
  readonly #cache: StoreCache
  readonly #clock: Clock
  readonly #self: InstanceId
  readonly #unusedSinceMs = new Map<string, number>()
  #isDeleting = false

  constructor (store: KeyValueStore, cache: StoreCache, clock: Clock, self: InstanceId) {
    this.#store = store
    this.#cache = cache
    this.#clock = clock
    this.#self = self
  }

  /**
   * Deletes at most one view that has been unused for {@link VIEW_EXPIRY_MS}, if this instance ranks first for its key.
   * `owners` are the member keys that owner records name.
   */
  deleteExpiredView (members: readonly MemberRecord[], owners: ReadonlySet<string>): void {
    const nowMs = this.#clock.readMonotonicMs()
    const used = new Set([...owners, ...members.map(formatMemberKey)].map((member) => VIEW_PREFIX + member))
    const views = this.#cache.list(VIEW_PREFIX)
    for (const key of this.#unusedSinceMs.keys()) if (used.has(key) || this.#cache.find(key) === undefined) this.#unusedSinceMs.delete(key)
    for (const { key, modRevision, value } of views) {
      if (used.has(key)) continue
      const sinceMs = this.#unusedSinceMs.get(key) ?? nowMs
      this.#unusedSinceMs.set(key, sinceMs)
      const isDue = nowMs - sinceMs >= VIEW_EXPIRY_MS && rankOwners(toUnitId(key), members)[0] === this.#self
      if (isDue && !this.#isDeleting && parseRecord(viewSchema, value) !== undefined) void this.#deleteView(key, modRevision)
    }
  }

  async #deleteView (key: string, modRevision: number): Promise<void> {
    this.#isDeleting = true
    await this.#store.commitTransaction({ comparisons: [{ key, modRevision }], mutations: [{ type: 'delete', key }] }, 'background')
    this.#isDeleting = false
  }
}
