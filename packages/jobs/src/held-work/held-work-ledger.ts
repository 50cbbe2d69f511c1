import type { Clock } from '@hibiscusledge/runtime/clock.js'
import { z } from 'zod'
import type { JobTable } from '../job-table.js'

/** A reservation ends when its job arrives, or after this time, in which the job is stored and announced or never is. */
const RESERVATION_MS = 10_000
/** Share of the limit that large jobs may fill. The rest is for the many small ones, for which the owner isn't asked. */
const LARGE_JOBS_SHARE = 0.75

/** What the owner tells the other instances of the jobs that it holds. */
export const heldWorkReportSchema = z.object({
  term: z.number(),
  sequence: z.number(),
  heldBytes: z.number().nonnegative(),
  maximumBytes: z.number().positive(),
  /** Number of instances that may accept jobs at the same time. */
  instances: z.number().int().positive()
})
export type HeldWorkReport = z.infer<typeof heldWorkReportSchema>

interface Reservation { readonly bytes: number, readonly untilMs: number }

export interface HeldWorkLedgerOptions {
  readonly clock: Clock
  readonly table: JobTable
  readonly term: number
  readonly maximumBytes: number
}

/** Counts what the owner holds for accepted jobs, and reserves room for large jobs that are about to be stored. */
export class HeldWorkLedger {
  readonly #options: HeldWorkLedgerOptions
  readonly #reservations = new Map<string, Reservation>()
  #sequence = 0

  constructor (options: HeldWorkLedgerOptions) {
    this.#options = options
  }

  /** Reserves room for a large job. Returns whether there was enough. Asking again for the same job changes nothing. */
  reserve (id: string, bytes: number): boolean {
    const { clock, table, maximumBytes } = this.#options
    const heldBytes = this.#countHeldBytes()
    if (table.has(id) || this.#reservations.has(id)) return true
    if (heldBytes + bytes > maximumBytes * LARGE_JOBS_SHARE) return false
    this.#reservations.set(id, { bytes, untilMs: clock.readMonotonicMs() + RESERVATION_MS })
    return true
  }

  buildReport (instances: number): HeldWorkReport {
    const { term, maximumBytes } = this.#options
    return { term, sequence: ++this.#sequence, heldBytes: this.#countHeldBytes(), maximumBytes, instances }
  }

  #countHeldBytes (): number {
    const { clock, table } = this.#options
    const nowMs = clock.readMonotonicMs()
    let bytes = table.countHeldBytes()
    for (const [id, reservation] of this.#reservations) {
      if (reservation.untilMs <= nowMs || table.has(id)) this.#reservations.delete(id)
      else bytes += reservation.bytes
    }
    return bytes
  }
}
