import type { MetricSink, MetricTags } from '@hibiscusledge/runtime/metric-sink.js'
import { StatsD } from 'hot-shots'
import type { HostPort } from './host-port.js'

const PREFIX = 'hibiscusledge.'
/** Below the maximum payload of an Ethernet frame, to avoid fragmented datagrams. */
const MAX_DATAGRAM_BYTES = 1_400
const FLUSH_INTERVAL_MS = 1_000

/** Sends metrics to a StatsD server over UDP. Lost datagrams and an unreachable server don't affect the process. */
export class StatsdMetricSink implements MetricSink {
  readonly #client: StatsD

  constructor (address: HostPort, tags: MetricTags, onError: (error: Error) => void) {
    this.#client = new StatsD({
      host: address.host,
      port: address.port,
      protocol: 'udp',
      prefix: PREFIX,
      globalTags: { ...tags },
      maxBufferSize: MAX_DATAGRAM_BYTES,
      bufferFlushInterval: FLUSH_INTERVAL_MS,
      includeDatadogTelemetry: false,
      includeDataDogTags: false,
      errorHandler: onError
    })
  }

  incrementCounter (name: string, by = 1, tags?: MetricTags): void {
    this.#client.increment(name, by, tags === undefined ? undefined : { ...tags })
  }

  setGauge (name: string, value: number, tags?: MetricTags): void {
    this.#client.gauge(name, value, tags === undefined ? undefined : { ...tags })
  }

  recordTiming (name: string, durationMs: number, tags?: MetricTags): void {
    this.#client.timing(name, durationMs, tags === undefined ? undefined : { ...tags })
  }

  /** Sends the buffered metrics and closes the socket. */
  async close (): Promise<void> {
    await new Promise<void>((resolve) => { this.#client.close(() => resolve()) })
  }
}
