import type { Job, JobStep, JobTerms } from '../src/job.js'

export function createTerms (values: Partial<JobTerms> = {}): JobTerms {
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
  return { id, terms: createTerms(), specification: 'post dues', steps, acceptedAtMs: 1_700_000_000_000, ...values }
}
