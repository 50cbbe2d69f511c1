import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { Incarnation, InstanceId, UnitId } from '@hibiscusledge/runtime/identifiers.js'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import type { Comparison, KeyValueStore, StoredValue } from '@hibiscusledge/store/key-value-store.js'
import type { StoreError } from '@hibiscusledge/store/store-error.js'
import type { Result } from '@hibiscusledge/runtime/result.js'
import type { StoreCache } from './store-cache.js'
import { formatOwnerKey, type OwnerRecord } from './store-records.js'

const READ_BACK_DELAY_MS = 200

/**
 * Outcome of a write of an owner record.
 * - `written`: it took effect.
 * - `refused`: a comparison failed, and the current record has been read.
 * - `failed`: it certainly did not take effect.
 * - `unknown`: it may have taken effect or may still do so.
 */
export type OwnerWriteOutcome = 'written' | 'refused' | 'failed' | 'unknown'

/** Writes owner records by compare-and-swap. After a lost response it reads the record back to learn the outcome. */
export class OwnerWriter {
  readonly #store: KeyValueStore
  readonly #cache: StoreCache
  readonly #clock: Clock
  readonly #random: RandomSource

  constructor (store: KeyValueStore, cache: StoreCache, clock: Clock, random: RandomSource) {
    this.#store = store
    this.#cache = cache
    this.#clock = clock
    this.#random = random
  }

  /** Writes a record that names `owner` with the next epoch, if the current record and all keys in `comparisons` are unchanged. */
  async writeOwner (
    unit: UnitId, current: { readonly modRevision: number, readonly epoch: number },
    owner: { readonly instance: InstanceId | '', readonly incarnation: Incarnation | '' }, comparisons: readonly Comparison[]
  ): Promise<OwnerWriteOutcome> {
    const key = formatOwnerKey(unit)
    const nonce = this.#random.drawHex(8)
    const epoch = current.epoch + 1
    const record: Record<keyof OwnerRecord, string | number> = { owner: owner.instance, incarnation: owner.incarnation, epoch, nonce }
    const value = JSON.stringify(record)
    const outcome = await this.#store.commitTransaction({
      comparisons: [{ key, modRevision: current.modRevision }, ...comparisons],
      mutations: [{ type: 'put', key, value }]
    }, 'critical')
    if (outcome.err) return outcome.val.isEffectUnknown ? await this.#readBack(key, nonce) : 'failed'
    if (!outcome.val.isCommitted) return (await this.#readRecord(key)).ok ? 'refused' : 'unknown'
    const { revision } = outcome.val
    this.#cache.applyValues([{ key, value, modRevision: revision, createRevision: current.modRevision === 0 ? revision : 0, leaseId: '' }])
    return 'written'
  }

  async #readBack (key: string, nonce: string): Promise<OwnerWriteOutcome> {
    await new Promise<void>((resolve) => { this.#clock.startTimer(READ_BACK_DELAY_MS, resolve) })
    const read = await this.#readRecord(key)
    return read.ok && read.val?.value.includes(nonce) === true ? 'written' : 'unknown'
  }

  async #readRecord (key: string): Promise<Result<StoredValue | undefined, StoreError>> {
    const read = await this.#store.readKey(key, 'critical')
    if (read.err) return read
    this.#cache.recordContact()
    if (read.val !== undefined) this.#cache.applyValues([read.val])
    return read
  }
}
