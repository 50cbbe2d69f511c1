import type { RunOutcome } from '../src/task-run.js'

/** A run as its target saw it. Times are on the clock of the test. */
export interface RunRecord {
  readonly taskName: string
  readonly run: number
  readonly targetId: string
  /** Whether the order was carried out after its call had timed out, or by a later incarnation than the one it was sent to. */
  readonly isLate: boolean
  readonly startedAtMs: number
  endedAtMs: number | undefined
  outcome: RunOutcome | 'crashed' | undefined
  /** Time at which an owner acknowledged the end. Stays undefined if the lease of the target lapsed in between. */
  acknowledgedAtMs: number | undefined
  /** Whether the poll that acknowledged the end was carried out late. */
  isAcknowledgedLate: boolean
}

/** By a timely order, by one beside a run whose order was carried out late, or by one that was carried out late itself. */
export type OverloadKind = 'overCapacity' | 'overCapacityBesideLate' | 'lateOverCapacity'

/** Everything that the targets of a test saw, and a trace of it in the order of time. */
export class RunHistory {
  readonly runs: RunRecord[] = []
  readonly overloads: { readonly kind: OverloadKind, readonly detail: string }[] = []
  readonly trace: string[] = []
  readonly #readNowMs: () => number

  constructor (readNowMs: () => number) {
    this.#readNowMs = readNowMs
  }

  recordStart (start: Pick<RunRecord, 'taskName' | 'run' | 'targetId' | 'isLate'>): RunRecord {
    const record: RunRecord = {
      ...start,
      startedAtMs: this.#readNowMs(),
      endedAtMs: undefined,
      outcome: undefined,
      acknowledgedAtMs: undefined,
      isAcknowledgedLate: false
    }
    this.runs.push(record)
    this.log(`${start.targetId} starts ${start.taskName}#${start.run}${start.isLate ? ' late' : ''}`)
    return record
  }

  recordEnd (record: RunRecord, outcome: RunOutcome | 'crashed'): void {
    record.endedAtMs = this.#readNowMs()
    record.outcome = outcome
    this.log(`${record.targetId} ends ${record.taskName}#${record.run} ${outcome}`)
  }

  recordAcknowledgement (record: RunRecord, isLate: boolean): void {
    record.acknowledgedAtMs = this.#readNowMs()
    record.isAcknowledgedLate = isLate
  }

  recordOverload (kind: OverloadKind, detail: string): void {
    this.overloads.push({ kind, detail })
    this.log(detail)
  }

  log (text: string): void {
    this.trace.push(`${this.#readNowMs().toFixed(0).padStart(6)} ${text}`)
  }
}
