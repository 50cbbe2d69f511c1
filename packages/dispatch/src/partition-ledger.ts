import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { UnitId } from '@hibiscusledge/runtime/identifiers.js'
import type { MetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import type { Comparison, KeyValueStore } from '@hibiscusledge/store/key-value-store.js'
import { DISPATCH_EVENTS } from './dispatch-events.js'
import type { LedgerEntry } from './ledger-entry.js'
import { buildSegmentKey, encodeSegment, groupEntries, loadLedger, measureEntry } from './ledger-segment.js'
import { LedgerState } from './ledger-state.js'
import { RETRY_DELAY_MS, SegmentWriter, type Segment } from './segment-writer.js'
import { OWNER_KEY_PREFIX } from './store-keys.js'

/** Longest time an entry waits for others to share its commit. */
const BATCH_WINDOW_MS = 10
/** Leaves space for the envelope within the store's 1 MB limit for a value. */
const BATCH_MAX_BYTES = 512 * 1024
const BATCH_MAX_ENTRIES = 2000
/**
 * Compaction starts above this number of segments plus twice the number that the last compaction left, so that a large
 * state is not rewritten after every commit.
 */
const COMPACTION_MIN_SEGMENTS = 48
/** Keeps a compaction transaction within etcd's limit of 128 operations. */
const COMPACTION_MAX_DELETIONS = 100
/** A commit that takes longer marks the ledger as stalled, so that requests waiting for it do not reserve capacity. */
const STALL_MS = 1000

export const COMMIT_RESULTS = { committed: 'committed', fenced: 'fenced', stalled: 'stalled', closed: 'closed' } as const
/**
 * `fenced`: the unit named by the entry's fence has another owner now. `stalled`: the result is not known yet, and the entry
 * may still be committed. `closed`: the ledger was closed before the result was known.
 */
export type CommitResult = typeof COMMIT_RESULTS[keyof typeof COMMIT_RESULTS]

/** Condition of an entry: it is committed only while the owner record of `unit` still has this modification revision. */
export interface Fence {
  readonly unit: UnitId
  readonly modRevision: number
}

interface PendingEntry {
  readonly entry: LedgerEntry
  readonly fence: Fence | undefined
  readonly bytes: number
  readonly addedAtMs: number
  resolve (result: CommitResult): void
}

export interface PartitionLedgerOptions {
  readonly partition: UnitId
  /** Modification revision of the owner record of the partition itself. */
  readonly ownerModRevision: number
  readonly store: KeyValueStore
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: EventLogger
  readonly metrics: MetricSink
  readonly retentionMs: number
  /** Called when the store shows that the partition has another owner; the ledger is closed by then. */
  readonly onOwnershipLost: () => void
}

/**
 * The durable log of one partition. Entries are committed in groups, one transaction at a time. Each transaction compares
 * the owner records of the partition and of the units that its entries' fences name, so a former owner commits nothing.
 */
export class PartitionLedger {
  readonly #options: PartitionLedgerOptions
  readonly #state = new LedgerState()
  readonly #segmentWriter: SegmentWriter
  #segmentKeys: string[] = []
  #nextSequence = 0
  /** Number of segments that the last compaction left. */
  #compactedSegmentCount = 0
  #pending: PendingEntry[] = []
  #isCommitting = false
  #isClosed = false
  #windowTimer: Timer | undefined
  #commitStartedAtMs: number | undefined
  #stallTimer: Timer | undefined
  #inFlight: PendingEntry[] = []

  constructor (options: PartitionLedgerOptions) {
    this.#options = options
    this.#segmentWriter = new SegmentWriter(options, () => this.#isClosed)
  }

  get state (): LedgerState {
    return this.#state
  }

  /** Reads the partition's segments. Retries until the store responds or the ledger is closed. */
  async load (): Promise<void> {
    while (!this.#isClosed) {
      const loaded = await loadLedger(this.#options.store, this.#options.partition)
      if (loaded.ok) {
        this.#segmentKeys = loaded.val.keys
        this.#nextSequence = loaded.val.nextSequence
        for (const entry of loaded.val.entries) this.#state.applyEntry(entry)
        for (const finding of loaded.val.findings) this.#options.logger.logError(DISPATCH_EVENTS.ledgerSegmentUnreadable, { ...finding })
        return
      }
      this.#options.logger.logWarning(DISPATCH_EVENTS.ledgerLoadFailed, { partition: this.#options.partition, code: loaded.val.code })
      await this.#wait(RETRY_DELAY_MS)
    }
  }

  /** Whether the commit in progress takes too long for requests to wait for it with capacity reserved. */
  isStalled (): boolean {
    const startedAtMs = this.#commitStartedAtMs
    return startedAtMs !== undefined && this.#options.clock.readMonotonicMs() - startedAtMs > STALL_MS
  }

  /** Adds an entry to the next group commit. Resolves with the result, or with `stalled` when the commit takes too long. */
  append (entry: LedgerEntry, fence?: Fence): Promise<CommitResult> {
    if (this.#isClosed) return Promise.resolve(COMMIT_RESULTS.closed)
    const bytes = measureEntry(entry)
    return new Promise((resolve) => {
      this.#pending.push({ entry, fence, bytes, addedAtMs: this.#options.clock.readMonotonicMs(), resolve })
      this.#windowTimer ??= this.#options.clock.startTimer(BATCH_WINDOW_MS, () => { this.#startCommit() })
    })
  }

  /** Waits until no entry is pending. Used before a planned hand-over. */
  async flush (): Promise<void> {
    while (!this.#isClosed && (this.#pending.length > 0 || this.#isCommitting)) await this.#wait(BATCH_WINDOW_MS)
  }

  close (): void {
    this.#isClosed = true
    this.#windowTimer?.cancel()
    this.#stallTimer?.cancel()
    this.#settle([...this.#inFlight, ...this.#pending], COMMIT_RESULTS.closed)
    this.#pending = []
  }

  #startCommit (): void {
    this.#windowTimer = undefined
    if (this.#isCommitting || this.#isClosed) return
    this.#isCommitting = true
    void this.#commitPending().finally(() => {
      this.#isCommitting = false
      this.#commitStartedAtMs = undefined
      this.#stallTimer?.cancel()
      if (this.#pending.length > 0 && !this.#isClosed) this.#startCommit()
    })
  }

  async #commitPending (): Promise<void> {
    const { clock, metrics } = this.#options
    const batch = this.#takeBatch()
    this.#inFlight = batch
    this.#commitStartedAtMs = clock.readMonotonicMs()
    this.#stallTimer = clock.startTimer(STALL_MS + 1, () => { this.#settle([...this.#inFlight, ...this.#pending], COMMIT_RESULTS.stalled) })
    const committed = await this.#commitBatch(batch)
    metrics.recordTiming('ledger.commit', clock.readMonotonicMs() - this.#commitStartedAtMs)
    metrics.incrementCounter('ledger.entries', committed.length)
    for (const pending of committed) this.#state.applyEntry(pending.entry)
    this.#settle(committed, COMMIT_RESULTS.committed)
    this.#inFlight = []
    if (this.#segmentKeys.length > COMPACTION_MIN_SEGMENTS + 2 * this.#compactedSegmentCount && !this.#isClosed) await this.#runCompaction()
  }

  #takeBatch (): PendingEntry[] {
    let bytes = 0
    let count = 0
    for (const pending of this.#pending) {
      if (count > 0 && (bytes + pending.bytes > BATCH_MAX_BYTES || count >= BATCH_MAX_ENTRIES)) break
      bytes += pending.bytes
      count++
    }
    return this.#pending.splice(0, count)
  }

  /** Commits the batch without its fenced entries, and returns the entries that were committed. */
  async #commitBatch (batch: PendingEntry[]): Promise<PendingEntry[]> {
    let remaining = batch
    while (remaining.length > 0 && !this.#isClosed) {
      const key = buildSegmentKey(this.#options.partition, this.#nextSequence)
      const value = encodeSegment(this.#options.random.drawHex(12), remaining.map((pending) => pending.entry))
      if (await this.#writeSegments([{ key, value }], [], this.#buildComparisons(remaining))) return remaining
      remaining = await this.#dropFenced(remaining)
    }
    return []
  }

  /** Writes segments in one transaction. Returns false when a comparison failed or the ledger was closed. */
  async #writeSegments (segments: readonly Segment[], deletions: readonly string[], comparisons: readonly Comparison[]): Promise<boolean> {
    const isWritten = await this.#segmentWriter.writeSegments(segments, deletions, comparisons)
    if (isWritten) this.#updateSegmentKeys(segments.map(({ key }) => key), deletions)
    return isWritten
  }

  #updateSegmentKeys (added: readonly string[], removed: readonly string[]): void {
    const removedKeys = new Set(removed)
    this.#segmentKeys = [...this.#segmentKeys.filter((key) => !removedKeys.has(key)), ...added]
    this.#nextSequence += added.length
  }

  /**
   * Finds the failed comparison, settles the fenced entries and returns the others. Closes the ledger when the owner record
   * of the partition itself has changed.
   */
  async #dropFenced (batch: PendingEntry[]): Promise<PendingEntry[]> {
    const owners = await this.#options.store.listPrefix(OWNER_KEY_PREFIX, 'critical')
    if (!owners.ok) {
      await this.#wait(RETRY_DELAY_MS)
      return batch
    }
    const revisions = new Map(owners.val.values.map((stored) => [stored.key, stored.modRevision]))
    const { partition, ownerModRevision, onOwnershipLost } = this.#options
    if (revisions.get(`${OWNER_KEY_PREFIX}${partition}`) !== ownerModRevision) {
      this.close()
      onOwnershipLost()
      return []
    }
    const isCurrent = ({ fence }: PendingEntry): boolean =>
      fence === undefined || revisions.get(`${OWNER_KEY_PREFIX}${fence.unit}`) === fence.modRevision
    this.#settle(batch.filter((pending) => !isCurrent(pending)), COMMIT_RESULTS.fenced)
    return batch.filter(isCurrent)
  }

  #buildComparisons (batch: readonly PendingEntry[]): Comparison[] {
    const comparisons = new Map<string, Comparison>()
    const ownKey = `${OWNER_KEY_PREFIX}${this.#options.partition}`
    comparisons.set(ownKey, { key: ownKey, modRevision: this.#options.ownerModRevision })
    for (const { fence } of batch) {
      if (fence === undefined) continue
      const key = `${OWNER_KEY_PREFIX}${fence.unit}`
      comparisons.set(`${key}@${fence.modRevision}`, { key, modRevision: fence.modRevision })
    }
    return [...comparisons.values()]
  }

  /**
   * Replaces all segments by the shortest ones that give the same state. The new segments are written before the old ones
   * are deleted, oldest first. If compaction is interrupted, replaying the remaining old segments before the new ones still
   * gives the same state, because a withdrawal or an outcome is never deleted before the intent that it closes.
   */
  async #runCompaction (): Promise<void> {
    this.#state.pruneOutcomes(this.#options.clock.readWallMs() - this.#options.retentionMs)
    const replaced = [...this.#segmentKeys]
    const groups = groupEntries(this.#state.buildEntries(), BATCH_MAX_BYTES)
    const comparisons = this.#buildComparisons([])
    for (const [index, group] of groups.entries()) {
      const key = buildSegmentKey(this.#options.partition, this.#nextSequence)
      const value = encodeSegment(this.#options.random.drawHex(12), group)
      const deletions = index === groups.length - 1 ? replaced.splice(0, COMPACTION_MAX_DELETIONS) : []
      if (!await this.#writeSegments([{ key, value }], deletions, comparisons)) return
    }
    while (replaced.length > 0) {
      if (!await this.#writeSegments([], replaced.splice(0, COMPACTION_MAX_DELETIONS), comparisons)) return
    }
    this.#compactedSegmentCount = groups.length
  }

  #settle (entries: readonly PendingEntry[], result: CommitResult): void {
    for (const pending of entries) pending.resolve(result)
  }

  #wait (delayMs: number): Promise<void> {
    return new Promise((resolve) => { this.#options.clock.startTimer(delayMs, resolve) })
  }
}
