import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import { SilentMetricSink, type MetricTags } from '@hibiscusledge/runtime/metric-sink.js'
import { SilentEventLogger, type LogFields } from '@hibiscusledge/runtime/event-logger.js'
import test from 'ava'
import { TURN_PARTS } from '../src/turns/turn-meter.js'
import { WorkMeter } from '../src/turns/work-meter.js'
import { createTurnMeter } from './job-fixtures.js'

class RecordingMetricSink extends SilentMetricSink {
  readonly timings: unknown[] = []

  override recordTiming (name?: string, durationMs?: number, tags?: MetricTags): void {
    this.timings.push([name, durationMs, tags?.['part']])
  }
}

class RecordingLogger extends SilentEventLogger {
  readonly warnings: unknown[] = []

  override logWarning (event?: string, fields?: LogFields): void {
    this.warnings.push({ event, ...fields })
  }
}

/** A clock of which the test sets the time within a turn. */
class ManualClock extends FakeClock {
  nowMs = 0

  override readMonotonicMs (): number {
    return this.nowMs
  }
}

// Guards against an owner that blocks its event loop without a trace in the log of what it did and for how many jobs.
test('a turn that blocks the event loop is logged with its part, its work and what is held, and each turn is timed', (t) => {
  const [clock, metrics, logger, work] = [new ManualClock(), new RecordingMetricSink(), new RecordingLogger(), new WorkMeter()]
  const turns = createTurnMeter({ clock, metrics, logger, work, readHoldings: () => ({ jobs: 3, steps: 4_000, tasks: 17 }) })
  t.is(turns.measure(TURN_PARTS.round, () => {
    clock.nowMs += 5
    return 'placed'
  }), 'placed')
  t.throws(() => turns.measure(TURN_PARTS.recovery, () => {
    work.add(500)
    clock.nowMs += 1_200
    throw new Error('failed')
  }))
  t.deepEqual(metrics.timings, [['owner_turn', 5, 'round'], ['owner_turn', 1_200, 'recovery']])
  t.deepEqual(logger.warnings, [
    { event: 'owner.turnBlocked', part: 'recovery', durationMs: 1_200, work: 500, jobs: 3, steps: 4_000, tasks: 17 }
  ])
})
