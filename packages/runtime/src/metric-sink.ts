export type MetricTags = Readonly<Record<string, string>>

/** Receives metrics. Names are listed in docs/request-path-operations.md. */
export interface MetricSink {
  incrementCounter (name: string, by?: number, tags?: MetricTags): void
  setGauge (name: string, value: number, tags?: MetricTags): void
  recordTiming (name: string, durationMs: number, tags?: MetricTags): void
}

/** Discards all metrics. */
export class SilentMetricSink implements MetricSink {
  incrementCounter (): void {}
  setGauge (): void {}
  recordTiming (): void {}
}
