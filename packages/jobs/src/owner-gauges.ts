import type { MetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import { JOB_METRICS } from './job-metrics.js'
import type { JobTable } from './job-table.js'
import type { TargetSession } from './target-session.js'

/** Publishes how many jobs, targets and runs the owner has at hand, and how much it holds for the jobs. */
export function publishOwnerGauges (metrics: MetricSink, table: JobTable, sessions: Iterable<TargetSession>): void {
  let targets = 0
  let runs = 0
  for (const session of sessions) {
    targets++
    runs += session.countRuns()
  }
  const { jobs, steps, tasks } = table.measureHoldings()
  metrics.setGauge(JOB_METRICS.activeJobs, jobs)
  metrics.setGauge(JOB_METRICS.heldSteps, steps)
  metrics.setGauge(JOB_METRICS.heldTasks, tasks)
  metrics.setGauge(JOB_METRICS.heldBytes, table.countHeldBytes())
  metrics.setGauge(JOB_METRICS.knownTargets, targets)
  metrics.setGauge(JOB_METRICS.activeRuns, runs)
}
