import { SilentEventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import { SilentMetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import type { AccountConfiguration } from '../src/accounts/account-table.js'
import type { ShareClassifier } from '../src/admission/share-classifier.js'
import type { Job, JobStep, QueuePolicy } from '../src/job.js'
import type { WaitingStep } from '../src/placement-round.js'
import { RUN_PHASES, type TaskRun } from '../src/task-run.js'
import { TurnMeter, type TurnMeterOptions } from '../src/turns/turn-meter.js'
import { WorkMeter } from '../src/turns/work-meter.js'

export function createQueuePolicy (values: Partial<QueuePolicy> = {}): QueuePolicy {
  return {
    queue: 'posting', service: 'ledger', priority: 1, maximumAttempts: 4, stretch: 2, targetDurationMs: 1_000, ...values
  }
}

export function createStep (values: Partial<JobStep> = {}): JobStep {
  return {
    taskCount: 1,
    size: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0 },
    estimatedMs: 1_000,
    after: [],
    isCheckpointing: false,
    isGang: false,
    prefersOneRack: false,
    maximumPerTarget: 0,
    allowsCopies: false,
    isLongRunning: false,
    usesIdleCapacity: false,
    ...values
  }
}

export function createJob (id: string, steps: readonly JobStep[] = [createStep()], values: Partial<Job> = {}): Job {
  return { id, terms: createQueuePolicy(), specification: 'post dues', steps, acceptedAtMs: 1_700_000_000_000, ...values }
}

/** Creates a meter that records nothing but what `options` name. */
export function createTurnMeter (options: Partial<TurnMeterOptions> = {}): TurnMeter {
  return new TurnMeter({
    clock: new FakeClock(),
    logger: new SilentEventLogger(),
    metrics: new SilentMetricSink(),
    work: new WorkMeter(),
    readHoldings: () => ({ jobs: 0, steps: 0, tasks: 0 }),
    ...options
  })
}

/** Treats all jobs as within their account's share. */
export const NO_SHARES: ShareClassifier = { isBeyondShare: () => false }

/** Creates an account without limits. */
export function createAccount (values: Partial<AccountConfiguration> = {}): AccountConfiguration {
  return { name: 'north', weight: 1, quota: { cpuMillis: 0, memoryMb: 0, accelerators: 0 }, keys: [], ...values }
}

/** Creates a step of which all tasks are to be placed. */
export function createWaiting (step: JobStep, values: Partial<WaitingStep> = {}): WaitingStep {
  return {
    stepName: 'aa.0.0',
    service: 'ledger',
    step,
    pending: Array.from({ length: step.taskCount }, (_, index) => index),
    avoided: new Set(),
    excluded: new Set(),
    countByTarget: new Map(),
    permittedIds: undefined,
    canWait: false,
    slackMs: 10_000,
    reservesCapacity: true,
    ...values
  }
}

export function createRun (values: Partial<TaskRun> = {}): TaskRun {
  return {
    task: { jobId: 'aa', occurrence: 0, step: 0, index: 0 },
    number: 1,
    targetId: 't0',
    size: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
    phase: RUN_PHASES.running,
    sentAtMs: 0,
    expectedEndMs: 0,
    confirmedAt: undefined,
    isStopWanted: false,
    stopAcknowledgedAt: undefined,
    percent: 0,
    percentChangedAtMs: 0,
    ...values
  }
}
