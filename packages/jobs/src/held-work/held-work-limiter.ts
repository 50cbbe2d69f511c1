import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { Job } from '../job.js'
import { estimateHeldBytes } from './estimate-held-bytes.js'
import { heldWorkReportSchema, type HeldWorkReport } from './held-work-ledger.js'

/** Room for a larger job is reserved at the owner. Of smaller ones, each instance accepts its part of the room that is left. */
const SMALL_JOB_BYTES = 16_384
/** A job that was accepted this long before a report is counted in it: it is announced at once, or found by a watch within 700 ms. */
const REPORTED_AFTER_MS = 1_500
/** Accepted jobs are summed up over this time. */
const SUM_PERIOD_MS = 100
/** Number of instances that is assumed until the owner has told it. */
const ASSUMED_INSTANCES = 8

interface AcceptedBytes { readonly atMs: number, bytes: number }

export interface HeldWorkLimiterOptions {
  readonly clock: Clock
  /** Limit on what is held for all accepted jobs, by the size of this instance. */
  readonly maximumBytes: number
  /** Asks the owner to reserve room for a large job; false without an answer. */
  readonly reserveAtOwner: (id: string, bytes: number) => Promise<boolean>
}

/**
 * Limits what an owner has to hold for all accepted jobs, whichever instances accept them. Each instance assumes that all others accept
 * as much as itself between two reports of the owner, so that together they stay within the limit without a call for each job.
 */
export class HeldWorkLimiter {
  readonly #options: HeldWorkLimiterOptions
  #report: HeldWorkReport | undefined
  /** What this instance has accepted and the owner may not have counted yet, oldest first. */
  #unreported: AcceptedBytes[] = []

  constructor (options: HeldWorkLimiterOptions) {
    this.#options = options
  }

  /** Takes a report of the owner unless it is malformed or older than the last one. */
  receive (body: unknown): void {
    const parsed = heldWorkReportSchema.safeParse(body)
    if (!parsed.success) return
    const { term, sequence } = parsed.data
    const last = this.#report
    if (last !== undefined && (term < last.term || (term === last.term && sequence <= last.sequence))) return
    this.#report = parsed.data
    const reportedBeforeMs = this.#options.clock.readMonotonicMs() - REPORTED_AFTER_MS
    this.#unreported = this.#unreported.filter(({ atMs }) => atMs > reportedBeforeMs)
  }

  /** Whether a job is within the limit. If it is, it counts as accepted. */
  async tryAdmit (job: Job): Promise<boolean> {
    const bytes = estimateHeldBytes(job)
    if (bytes > SMALL_JOB_BYTES) return await this.#options.reserveAtOwner(job.id, bytes)
    const { heldBytes, instances, maximumBytes } = this.#report ?? { heldBytes: 0, instances: ASSUMED_INSTANCES, maximumBytes: Infinity }
    const ownBytes = this.#unreported.reduce((sum, accepted) => sum + accepted.bytes, bytes)
    if (heldBytes + ownBytes * instances > Math.min(maximumBytes, this.#options.maximumBytes)) return false
    this.#recordAccepted(bytes)
    return true
  }

  #recordAccepted (bytes: number): void {
    const nowMs = this.#options.clock.readMonotonicMs()
    const last = this.#unreported.at(-1)
    if (last !== undefined && nowMs - last.atMs < SUM_PERIOD_MS) last.bytes += bytes
    else this.#unreported.push({ atMs: nowMs, bytes })
  }
}
