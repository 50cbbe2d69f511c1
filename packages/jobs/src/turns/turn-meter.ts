import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { MetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import { JOB_EVENTS } from '../job-events.js'
import { JOB_METRICS } from '../job-metrics.js'
import type { WorkMeter } from './work-meter.js'

/** Parts of the owner's work, each of which takes one turn of the event loop at a time. */
export const TURN_PARTS = {
  /** One placement round. */
  round: 'round',
  /** One batch of the jobs that a new owner reads. */
  recovery: 'recovery',
  /** One report of a target. */
  report: 'report',
  /** The load report to all instances. */
  loadReport: 'loadReport',
  /** A job or cancellation that another instance has relayed or announced, or that the store's watch delivers. */
  relay: 'relay',
  /** The periodic check of all targets and jobs. */
  update: 'update',
  /** Building one transaction that writes progress. */
  write: 'write'
} as const
export type TurnPart = typeof TURN_PARTS[keyof typeof TURN_PARTS]

/** Sizes of what the owner holds in memory for the jobs. */
export interface Holdings {
  readonly jobs: number
  /** Steps of all open occurrences. */
  readonly steps: number
  /** Tasks with an entry of their own. */
  readonly tasks: number
}

/** A turn that blocks the event loop for this long is logged. Leases are renewed several times within their duration of seconds. */
const LOGGED_TURN_MS = 100

export interface TurnMeterOptions {
  readonly clock: Clock
  readonly logger: EventLogger
  readonly metrics: MetricSink
  readonly work: WorkMeter
  readonly readHoldings: () => Holdings
}

/** Measures for how long each part of the owner's work blocks the event loop, and how much work it does in that time. */
export class TurnMeter {
  /** Counts the work of all turns. */
  readonly work: WorkMeter
  readonly #options: TurnMeterOptions

  constructor (options: TurnMeterOptions) {
    this.work = options.work
    this.#options = options
  }

  /** Runs a part, which must not wait for anything, and records its duration. A part within another one counts in both. */
  measure<Value> (part: TurnPart, run: () => Value): Value {
    const { clock } = this.#options
    const startedAtMs = clock.readMonotonicMs()
    const workBefore = this.work.readTotal()
    try {
      return run()
    } finally {
      this.#record(part, clock.readMonotonicMs() - startedAtMs, this.work.readTotal() - workBefore)
    }
  }

  #record (part: TurnPart, durationMs: number, units: number): void {
    const { logger, metrics, readHoldings } = this.#options
    metrics.recordTiming(JOB_METRICS.ownerTurn, durationMs, { part })
    if (units > 0) metrics.incrementCounter(JOB_METRICS.ownerWork, units, { part })
    if (durationMs < LOGGED_TURN_MS) return
    logger.logWarning(JOB_EVENTS.turnBlocked, { part, durationMs: Math.round(durationMs), work: units, ...readHoldings() })
  }
}
