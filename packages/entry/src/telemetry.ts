import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { MetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import type { SpanRecorder } from '@hibiscusledge/runtime/span-recorder.js'

/** What every part of an instance gets from the process. */
export interface Telemetry {
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: EventLogger
  readonly metrics: MetricSink
  readonly spans: SpanRecorder
  /** Sends what is buffered. */
  close (): Promise<void>
}
