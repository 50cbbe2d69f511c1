import { loadReportSchema, type LoadReport } from './load-report.js'

/** A report is used for this long after it was received: two reports in a row may be lost. */
const MAXIMUM_AGE_MS = 1_500

/** Keeps the newest load report of the present owner. */
export class LoadReceiver {
  #report: LoadReport | undefined
  #receivedAtMs = Number.NEGATIVE_INFINITY

  /** Takes a report unless it is malformed, of an earlier term, or older than the last one. */
  receive (body: unknown, nowMs: number): void {
    const parsed = loadReportSchema.safeParse(body)
    if (!parsed.success) return
    const { term, sequence } = parsed.data
    const last = this.#report
    if (last !== undefined && (term < last.term || (term === last.term && sequence <= last.sequence))) return
    this.#report = parsed.data
    this.#receivedAtMs = nowMs
  }

  /** Makes the last report unusable, since another instance is the owner now. */
  expire (): void {
    this.#receivedAtMs = Number.NEGATIVE_INFINITY
  }

  /** Returns the last report while it is fresh. */
  readFresh (nowMs: number): LoadReport | undefined {
    return nowMs - this.#receivedAtMs <= MAXIMUM_AGE_MS ? this.#report : undefined
  }
}
