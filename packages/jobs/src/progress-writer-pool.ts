import { ProgressWriter, type ProgressWriterOptions } from './progress-writer.js'

/** Number of writers of an owner, each with a write sequence key. */
export const PROGRESS_WRITER_COUNT = 4
/** A longer write means that the store is slow, so that its latency would bound the throughput of a single writer. */
const SLOW_WRITE_MS = 60

/**
 * Writes progress with one writer while the store is fast, and with several in parallel while it is slow. Each writer has its
 * own write sequence. A job stays with its writer until all of its changes are stored, so that its writes keep their order.
 */
export class ProgressWriterPool {
  readonly #writers: readonly ProgressWriter[]

  constructor (options: Omit<ProgressWriterOptions, 'sequenceKey'>, formatSequenceKey: (index: number) => string) {
    this.#writers = Array.from({ length: PROGRESS_WRITER_COUNT },
      (_, index) => new ProgressWriter({ ...options, sequenceKey: formatSequenceKey(index) }))
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
    for (const writer of this.#writers) writer.stop()
  }

  #chooseWriter (): ProgressWriter | undefined {
    const [first] = this.#writers
    if (first === undefined || !first.isSlow(SLOW_WRITE_MS)) return first
    return this.#writers.reduce((best, writer) => writer.countUnstored() < best.countUnstored() ? writer : best, first)
  }
}
