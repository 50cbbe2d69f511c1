import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { SilentMetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import { SilentSpanRecorder } from '@hibiscusledge/runtime/silent-span-recorder.js'
import { SystemClock } from '@hibiscusledge/runtime/system-clock.js'
import { SystemRandomSource } from '@hibiscusledge/runtime/system-random-source.js'
import { destination } from 'pino'
import { FileSpanLineWriter } from './file-span-line-writer.js'
import { JsonLineSpanExporter } from './json-line-span-exporter.js'
import { LOG_EVENTS } from './log-events.js'
import { LogSpanLineWriter } from './log-span-line-writer.js'
import { OpenTelemetrySpanRecorder } from './open-telemetry-span-recorder.js'
import { PinoEventLogger } from './pino-event-logger.js'
import type { Settings } from './setting-table.js'
import type { SpanLineWriter } from './span-line-writer.js'
import { StatsdMetricSink } from './statsd-metric-sink.js'
import type { Telemetry } from './telemetry.js'

const STDOUT_FD = 1

/** Builds the logger, the metric sink and the span recorder from the settings. */
export function createTelemetry (settings: Settings): Telemetry {
  // With asynchronous writes the last events would be lost when the process ends on an uncaught error.
  const logger = new PinoEventLogger(destination({ dest: STDOUT_FD, sync: true }), settings.logLevel, { instance: settings.instanceId })
  const random = new SystemRandomSource()
  const statsd = settings.statsd === undefined
    ? undefined
    : new StatsdMetricSink(settings.statsd, { instance: settings.instanceId, failure_domain: settings.failureDomain },
      (error) => logger.logWarning(LOG_EVENTS.metricsFailed, { error }))
  const recorder = settings.traceFile === undefined
    ? undefined
    : new OpenTelemetrySpanRecorder(new JsonLineSpanExporter(createSpanLineWriter(settings.traceFile, logger), logger), random)
  return {
    clock: new SystemClock(),
    random,
    logger,
    metrics: statsd ?? new SilentMetricSink(),
    spans: recorder ?? new SilentSpanRecorder(random),
    close: async () => { await Promise.all([statsd?.close(), recorder?.close()]) }
  }
}

function createSpanLineWriter (path: string, logger: EventLogger): SpanLineWriter {
  if (path === '-') return new LogSpanLineWriter(logger)
  return new FileSpanLineWriter(path, (error) => logger.logWarning(LOG_EVENTS.spansDropped, { error }))
}
