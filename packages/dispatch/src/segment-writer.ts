import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { UnitId } from '@hibiscusledge/runtime/identifiers.js'
import type { Comparison, KeyValueStore, Mutation } from '@hibiscusledge/store/key-value-store.js'
import { DISPATCH_EVENTS } from './dispatch-events.js'

/** Pause before a call to the store that failed is repeated. */
export const RETRY_DELAY_MS = 200

/** A segment of a ledger as stored. Its value contains a nonce. */
export interface Segment {
  readonly key: string
  readonly value: string
}

export interface SegmentWriterOptions {
  readonly partition: UnitId
  readonly store: KeyValueStore
  readonly clock: Clock
  readonly logger: EventLogger
}

/** Writes the segments of a ledger to the store, and finds out whether a write without an answer took effect. */
export class SegmentWriter {
  readonly #options: SegmentWriterOptions
  readonly #isClosed: () => boolean

  constructor (options: SegmentWriterOptions, isClosed: () => boolean) {
    this.#options = options
    this.#isClosed = isClosed
  }

  /**
   * Writes segments in one transaction and retries the same transaction until its effect is known. The transaction requires
   * that the segment keys do not exist, so a retry after a lost response is safe, even when the first write takes effect late.
   * Returns false when a comparison failed or the ledger was closed.
   */
  async writeSegments (segments: readonly Segment[], deletions: readonly string[], comparisons: readonly Comparison[]): Promise<boolean> {
    const { store, logger, partition } = this.#options
    const mutations: Mutation[] = [
      ...segments.map(({ key, value }) => ({ type: 'put' as const, key, value })),
      ...deletions.map((key) => ({ type: 'delete' as const, key }))
    ]
    const absenceComparisons = segments.map(({ key }) => ({ key, modRevision: 0 }))
    let isEffectUnknown = false
    while (!this.#isClosed()) {
      const outcome = await store.commitTransaction({ comparisons: [...comparisons, ...absenceComparisons], mutations }, 'critical')
      if (outcome.ok) return outcome.val.isCommitted || (isEffectUnknown && await this.#isOwnSegment(segments[0]))
      isEffectUnknown ||= outcome.val.isEffectUnknown
      logger.logWarning(DISPATCH_EVENTS.ledgerCommitFailed, { partition, code: outcome.val.code })
      await this.#wait()
    }
    return false
  }

  /** Whether the stored segment is the one that this ledger tried to write. The nonce in the value identifies it. */
  async #isOwnSegment (segment: Segment | undefined): Promise<boolean> {
    if (segment === undefined) return false
    while (!this.#isClosed()) {
      const stored = await this.#options.store.readKey(segment.key, 'critical')
      if (stored.ok) return stored.val?.value === segment.value
      await this.#wait()
    }
    return false
  }

  async #wait (): Promise<void> {
    await new Promise<void>((resolve) => { this.#options.clock.startTimer(RETRY_DELAY_MS, resolve) })
  }
}
