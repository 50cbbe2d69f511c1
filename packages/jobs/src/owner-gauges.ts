import type { MetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import { JOB_METRICS } from './job-metrics.js'
import type { JobTable } from './job-table.js'
import type { TargetSession } from './target-session.js'

/** Publishes how many jobs, targets and runs the owner has at hand. */
export function publishOwnerGauges (metrics: MetricSink, table: JobTable, sessions: Iterable<TargetSession>): void {
  let targets = 0
  let runs = 0
  for (const session of sessions) {
    targets++
    runs += session.countRuns()
  }
  metrics.setGauge(JOB_METRICS.activeJobs, table.countActive())
  metrics.setGauge(JOB_METRICS.knownTargets, targets)
  metrics.setGauge(JOB_METRICS.activeRuns, runs)
}
