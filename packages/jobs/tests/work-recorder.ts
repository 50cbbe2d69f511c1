import { SilentMetricSink, type MetricTags } from '@hibiscusledge/runtime/metric-sink.js'
import { JOB_METRICS } from '../src/job-metrics.js'

/** Keeps the largest work of one turn by part, and the largest values of the gauges. */
export class WorkRecorder extends SilentMetricSink {
  readonly largest = new Map<string, number>()
  readonly gauges = new Map<string, number>()

  override incrementCounter (name?: string, by = 1, tags?: MetricTags): void {
    const part = tags?.['part']
    if (name === JOB_METRICS.ownerWork && part !== undefined) this.largest.set(part, Math.max(this.largest.get(part) ?? 0, by))
  }

  override setGauge (name = '', value = 0): void {
    this.gauges.set(name, Math.max(this.gauges.get(name) ?? 0, value))
  }
}
