import { AccountTable } from '@hibiscusledge/jobs/accounts/account-table.js'
import { JobService } from '@hibiscusledge/jobs/job-service.js'
import { createOwnerTimings } from '@hibiscusledge/jobs/owner-timings.js'
import { SilentMetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import { InMemoryStore } from '@hibiscusledge/store/in-memory-store.js'
import { drawJobs, type ModelJob } from './job-source.js'
import { ACCOUNT_NAMES, type LoadPattern } from './load-pattern.js'
import { ModelAdvice } from './model-advice.js'
import { ModelTargets } from './model-targets.js'
import { createModelNetwork, OWNER_NAME } from './model-network.js'
import { buildKindSummary, type KindSummary } from './kind-summary.js'
import { TARGET_CAPACITY } from './model-target.js'
import { TimeRecorder, type JobTimes } from './time-recorder.js'
import { VirtualClock } from './virtual-clock.js'

/** Time before the load in which an owner is elected and has reached all targets. */
const WARM_UP_MS = 3_000
const LOAD_MS = 34_000
/** Time after the load in which jobs may still be completed. */
const DRAIN_MS = 14_000
const SAMPLE_PERIOD_MS = 50
const STORE_LATENCY_MS = 5
const MAXIMUM_LEASE_MS = 10_000
/** As on the smallest machine. */
const MAXIMUM_HELD_BYTES = 8_800_000
const REFUSE_AFTER_MS = 1_000
const GIVE_UP_AFTER_MS = 3_000
/** Time until a caller repeats a job that was refused. */
const RETRY_DELAY_MS = 1_000
const MAXIMUM_ATTEMPTS = 5

export interface ExperimentOptions {
  readonly pattern: LoadPattern
  readonly seed: number
  readonly targets: number
  readonly instances: number
  /** Whether the configuration names the accounts, which turns overload control on. */
  readonly hasAccounts: boolean
}

export interface ExperimentResult {
  readonly pattern: string
  readonly seed: number
  readonly kinds: readonly KindSummary[]
  /** Worth that was earned, as a share of what all jobs in time would earn. */
  readonly worth: number
  /** Mean share of the cores that worked while jobs arrived. */
  readonly busyShare: number
  /** Work of runs that were not done, and capacity held by gangs that waited for members, as shares of the work done. */
  readonly discardedShare: number
  readonly waitedShare: number
}

/** Weight of an account as a multiple of its usual rate: the largest factor of a burst of all kinds. */
const WEIGHT_FACTOR = 2.5
const NO_ACCOUNTS = new AccountTable()
const NO_QUOTA = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }

/** Runs the job service of one owner against the modelled targets, policy service and store, in virtual time. */
export async function runExperiment (options: ExperimentOptions): Promise<ExperimentResult> {
  const { pattern, seed, targets: targetCount, instances, hasAccounts } = options
  const clock = new VirtualClock()
  const jobs = drawJobs(pattern, targetCount, LOAD_MS, new SeededRandomSource(seed))
  const jobById = new Map(jobs.map((job) => [job.job.id, job]))
  const targets = new ModelTargets(clock, targetCount, jobById)
  const advice = new ModelAdvice(clock, (stepName) => jobById.get(stepName.split('.')[0] ?? '')?.kind)
  const recorder = new TimeRecorder(clock, jobs)
  const store = new InMemoryStore(clock)
  store.faults.delayMs = STORE_LATENCY_MS
  const gateway = targets.createGateway()
  const accounts = hasAccounts ? createAccounts(pattern, targetCount) : NO_ACCOUNTS
  const service = new JobService({
    instance: OWNER_NAME,
    peerAddress: OWNER_NAME,
    incarnation: OWNER_NAME,
    cores: 1,
    clock,
    random: new SeededRandomSource(seed + 1),
    logger: recorder,
    metrics: new SilentMetricSink(),
    store,
    network: createModelNetwork({ clock, instanceCount: instances, advice, gateway }),
    probe: { isConnectionRefused: async () => false },
    targetGateway: gateway,
    directory: targets.createDirectory(),
    advice: undefined,
    timings: createOwnerTimings(MAXIMUM_LEASE_MS),
    retentionMs: 600_000,
    readAccounts: () => accounts,
    maximumHeldBytes: MAXIMUM_HELD_BYTES
  })
  service.start()
  await clock.runUntil(WARM_UP_MS)
  scheduleFaults(pattern, clock, targets, store)
  for (const job of jobs) clock.startTimer(job.arrivesAtMs, () => { void submitJob(clock, service, job, recorder.times) })
  const busyShares: number[] = []
  const sampling = clock.startInterval(SAMPLE_PERIOD_MS, () => { busyShares.push(targets.readBusyShare()) })
  await clock.runUntil(WARM_UP_MS + LOAD_MS)
  sampling.cancel()
  await clock.runUntil(WARM_UP_MS + LOAD_MS + DRAIN_MS)
  service.stop()
  const kinds = groupJobs(pattern, jobs).flatMap(([suffix, group]) =>
    pattern.kinds.map((kind) => buildKindSummary(kind, suffix, group, recorder.times, WARM_UP_MS)))
  const { done, discarded, waited } = targets.work
  const earned = kinds.reduce((sum, kind) => sum + kind.earned, 0)
  const owed = kinds.reduce((sum, kind) => sum + kind.owed, 0)
  return {
    pattern: pattern.name,
    seed,
    kinds,
    worth: earned / owed,
    busyShare: busyShares.reduce((sum, share) => sum + share, 0) / busyShares.length,
    discardedShare: discarded / done,
    waitedShare: waited / done
  }
}

/** Creates the accounts with equal weights, which cover bursts of all kinds, so that only the burst of one account goes beyond a share. */
function createAccounts ({ kinds }: LoadPattern, targetCount: number): AccountTable {
  const usualRate = kinds.reduce((sum, { ratePerTarget }) => sum + ratePerTarget, 0) * targetCount / ACCOUNT_NAMES.length
  const weight = usualRate * WEIGHT_FACTOR
  return new AccountTable(ACCOUNT_NAMES.map((name) => ({ name, weight, quota: NO_QUOTA, keys: [] })))
}

/** Separates the jobs of the account that has a burst from those of the others, with a suffix for the names of their kinds. */
function groupJobs ({ accountBurst }: LoadPattern, jobs: readonly ModelJob[]): (readonly [string, readonly ModelJob[]])[] {
  if (accountBurst === undefined) return [['', jobs]]
  const isOwn = ({ job }: ModelJob): boolean => job.account === accountBurst.account
  return [[' of others', jobs.filter((job) => !isOwn(job))], [' of the account', jobs.filter(isOwn)]]
}

/** Returns the share of the cores that the jobs of a pattern ask for while they arrive, at the mean speed of the targets. */
export function computeDemand (pattern: LoadPattern, targetCount: number, seed: number): number {
  const jobs = drawJobs(pattern, targetCount, LOAD_MS, new SeededRandomSource(seed))
  const demand = jobs.reduce((sum, { job, durationsMs }) => sum + job.steps.reduce((stepSum, step, index) =>
    stepSum + step.taskCount * step.size.cpuMillis * (durationsMs[index] ?? 0), 0), 0)
  return demand / (targetCount * TARGET_CAPACITY.cpuMillis * LOAD_MS)
}

function scheduleFaults (pattern: LoadPattern, clock: VirtualClock, targets: ModelTargets, store: InMemoryStore): void {
  const { capacityLoss, slowdown, outage } = pattern
  if (capacityLoss !== undefined) clock.startTimer(capacityLoss.atMs, () => targets.drainShare(capacityLoss.share, capacityLoss.noticeMs))
  if (slowdown !== undefined) {
    clock.startTimer(slowdown.fromMs, () => targets.throttleShare(slowdown.share, slowdown.factor))
    clock.startTimer(slowdown.fromMs + slowdown.durationMs, () => targets.throttleShare(slowdown.share, 1))
  }
  if (outage !== undefined) {
    clock.startTimer(outage.fromMs, () => store.setDown(true))
    clock.startTimer(outage.fromMs + outage.durationMs, () => store.setDown(false))
  }
}

/** Submits a job as a caller does, who repeats it after a refusal. */
async function submitJob (
  clock: VirtualClock, service: JobService, { job }: ModelJob, times: ReadonlyMap<string, JobTimes>
): Promise<void> {
  for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
    const nowMs = clock.readMonotonicMs()
    const accepted = { ...job, acceptedAtMs: clock.readWallMs() }
    const outcome = await service.submitJob(accepted, { refuseAtMs: nowMs + REFUSE_AFTER_MS, giveUpAtMs: nowMs + GIVE_UP_AFTER_MS })
    if (outcome === 'stored') {
      const jobTimes = times.get(job.id)
      if (jobTimes !== undefined) jobTimes.isAccepted = true
      return
    }
    await clock.wait(typeof outcome === 'object' ? outcome.retryAfterS * 1_000 : RETRY_DELAY_MS)
  }
}
