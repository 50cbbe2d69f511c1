import { ProgressWriter, type ProgressWriterOptions } from './progress-writer.js'

/** Number of write sequences of an owner. */
export const PROGRESS_WRITER_COUNT = 4
/** A write that takes longer shows a slow store, whose throughput one transaction at a time would bound. */
const SLOW_WRITE_MS = 60

/**
 * Writes progress in one lane while the store is quick, and in several at once while it is slow. Each lane has a write
 * sequence of its own; a job stays in its lane until all of its changes are stored, so that its writes keep their order.
 */
export class ProgressWriterPool {
  readonly #writers: readonly ProgressWriter[]

  constructor (options: Omit<ProgressWriterOptions, 'sequenceKey'>, formatSequenceKey: (lane: number) => string) {
    this.#writers = Array.from({ length: PROGRESS_WRITER_COUNT }, (_, lane) => new ProgressWriter({ ...options, sequenceKey: formatSequenceKey(lane) }))
  }

  markChanged (jobId: string): void {
    const lane = this.#writers.find((candidate) => candidate.hasUnstored(jobId)) ?? this.#chooseWriter()
    lane?.markChanged(jobId)
  }

  /** Calls back once all changes marked so far are stored. */
  runWhenStored (callback: () => void): void {
    let open = this.#writers.length
    const finish = (): void => {
      if (--open === 0) callback()
    }
    for (const lane of this.#writers) lane.runWhenStored(finish)
  }

  /** Calls back once all changes of the job that are marked so far are stored; other jobs may be in slower lanes. */
  runWhenJobStored (jobId: string, callback: () => void): void {
    const lane = this.#writers.find((candidate) => candidate.hasUnstored(jobId))
    if (lane === undefined) callback()
    else lane.runWhenStored(callback)
  }

  stop (): void {
    for (const lane of this.#writers) lane.stop()
  }

  #chooseWriter (): ProgressWriter | undefined {
    const [first] = this.#writers
    if (first === undefined || !first.isSlow(SLOW_WRITE_MS)) return first
    return this.#writers.reduce((best, lane) => lane.countUnstored() < best.countUnstored() ? lane : best, first)
  }
}
