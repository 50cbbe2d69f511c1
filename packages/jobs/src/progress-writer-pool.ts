import type { FencingTokenSource } from './fencing-token-source.js'
import { ProgressWriter, type ProgressWriterOptions } from './progress-writer.js'

/** Number of writers of an owner, each with a write sequence key. */
export const PROGRESS_WRITER_COUNT = 4
/** A longer write means that the store is slow, so that its latency would bound the throughput of a single writer. */
const SLOW_WRITE_MS = 60

/** A request for a revision above a given one. */
interface RevisionRequest {
  readonly above: number
  readonly callback: () => void
}

/**
 * Writes progress with one writer while the store is fast, and with several in parallel while it is slow. Each writer has its
 * own write sequence. A job stays with its writer until all of its changes are stored, so that its writes keep their order.
 *
 * The revisions of these transactions are the owner's fencing tokens. Each was committed while the owner key was unchanged, so the
 * next owner's revision is higher than all of them.
 */
export class ProgressWriterPool implements FencingTokenSource {
  readonly #writers: readonly ProgressWriter[]
  #newestRevision: number
  #revisionRequests: RevisionRequest[] = []

  constructor (options: Omit<ProgressWriterOptions, 'sequenceKey' | 'onCommitted'>, formatSequenceKey: (index: number) => string) {
    this.#newestRevision = options.ownerRevision
    const onCommitted = (revision: number): void => this.#onCommitted(revision)
    this.#writers = Array.from({ length: PROGRESS_WRITER_COUNT },
      (_, index) => new ProgressWriter({ ...options, onCommitted, sequenceKey: formatSequenceKey(index) }))
  }

  readNewestToken (): number {
    return this.#newestRevision
  }

  requestTokenAbove (token: number, callback: () => void): void {
    if (this.#newestRevision > token) return callback()
    this.#revisionRequests.push({ above: token, callback })
    this.#writers[0]?.requestCommit()
  }

  markChanged (jobId: string): void {
    const writer = this.#writers.find((candidate) => candidate.hasUnstored(jobId)) ?? this.#chooseWriter()
    writer?.markChanged(jobId)
  }

  /** Calls back once all changes marked so far are stored. */
  runWhenStored (callback: () => void): void {
    let open = this.#writers.length
    const finish = (): void => {
      if (--open === 0) callback()
    }
    for (const writer of this.#writers) writer.runWhenStored(finish)
  }

  /** Calls back once all changes of the job marked so far are stored, without waiting for jobs of other writers. */
  runWhenJobStored (jobId: string, callback: () => void): void {
    const writer = this.#writers.find((candidate) => candidate.hasUnstored(jobId))
    if (writer === undefined) callback()
    else writer.runWhenJobStored(jobId, callback)
  }

  stop (): void {
    this.#revisionRequests = []
    for (const writer of this.#writers) writer.stop()
  }

  #onCommitted (revision: number): void {
    this.#newestRevision = Math.max(this.#newestRevision, revision)
    const served = this.#revisionRequests.filter(({ above }) => above < this.#newestRevision)
    this.#revisionRequests = this.#revisionRequests.filter(({ above }) => above >= this.#newestRevision)
    for (const { callback } of served) callback()
    // Of transactions that were in flight together, the one that was committed first may be confirmed last.
    if (this.#revisionRequests.length > 0) this.#writers[0]?.requestCommit()
  }

  #chooseWriter (): ProgressWriter | undefined {
    const [first] = this.#writers
    if (first === undefined || !first.isSlow(SLOW_WRITE_MS)) return first
    return this.#writers.reduce((best, writer) => writer.countUnstored() < best.countUnstored() ? writer : best, first)
  }
}
