import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { MetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import type { SpanRecorder } from '@hibiscusledge/runtime/span-recorder.js'

/** Clock, randomness, logs, metrics and spans, shared by all components of an instance. */
export interface Telemetry {
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: EventLogger
  readonly metrics: MetricSink
  readonly spans: SpanRecorder
  /** Sends the buffered metrics and spans. */
  close (): Promise<void>
}
