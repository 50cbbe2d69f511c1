import type { QuotaBudget } from '../accounts/quota-budget.js'
import { addResources, computeReservedResources, NO_RESOURCES } from '../capacity-tracker.js'
import type { JobProgress } from '../job-progress.js'
import type { ReadyStep } from '../job-table.js'
import type { JobStep, Resources } from '../job.js'
import type { RoomChecker } from '../room-checker.js'
import type { StepProgress } from '../step-progress.js'
import type { WorkMeter } from '../turns/work-meter.js'
import { computeLateEndMs, computeUrgency, URGENCY_BANDS } from '../urgency.js'
import type { RateMeter } from './rate-meter.js'
import type { ShareClassifier } from './share-classifier.js'
import { computeTotalWork } from './work-amount.js'

/** Share of its slack after which a job that hasn't started is treated like one that has, so that a wide job keeps its place. */
const WAITED_SLACK_SHARE = 0.5

/** A waiting job that can still be completed within three times its objective. */
export interface WaitingJob {
  readonly progress: JobProgress
  /** Monotonic time of the objective, or of three times the objective if the job is late. */
  readonly deadlineMs: number
  /** Whether the objective can't be met any more. */
  readonly isLate: boolean
  /** Remaining work: amounts of resources multiplied by milliseconds. */
  readonly work: Resources
  readonly priority: number
  readonly isBeyondShare: boolean
  /** Whether a task has started, or the job has waited for a considerable part of its slack. */
  readonly isEstablished: boolean
}

/** The waiting work of one service. */
export interface ServiceDemand {
  readonly jobs: WaitingJob[]
  /** Resources that arriving work within the accounts' shares needs, by priority. */
  readonly inflow: ReadonlyMap<number, Resources>
  /** Size of the waiting tasks that run until their job is cancelled. */
  lasting: Resources
}

/** What decides whether and how waiting work counts. */
export interface DemandContext {
  readonly nowMs: number
  readonly checker: RoomChecker
  readonly shares: ShareClassifier
  /** What accounts can finish within their quotas. It is used up by the grouping. */
  readonly budget: QuotaBudget
  /** Whether the policy service has answered for a step and has permitted no target so far. */
  readonly isPermittedNowhere: (step: StepProgress) => boolean
  /** Counts the steps that are visited. */
  readonly work?: WorkMeter | undefined
}

/** Where the inflow of work is measured. */
export interface InflowContext {
  readonly inflow: RateMeter
  /** Monotonic time of the previous plan. Jobs accepted since then count as inflow. */
  readonly previousMs: number
}

/**
 * Groups the jobs with ready steps by service. Jobs later than three objectives are left out, and so is work that no usable target
 * could run, or that an account can't finish in time within its quota. Jobs that run until they are cancelled count only for the
 * capacity that they take.
 */
export function groupWaitingDemand (ready: Iterable<ReadyStep>, context: DemandContext & InflowContext): Map<string, ServiceDemand> {
  const { inflow, nowMs, previousMs } = context
  inflow.advance(nowMs)
  const demands = new Map<string, ServiceDemand>()
  const finite: JobProgress[] = []
  for (const progress of listJobs(ready)) {
    const { service } = progress.job.terms
    let demand = demands.get(service)
    if (demand === undefined) demands.set(service, demand = { jobs: [], inflow: inflow.readRates(service), lasting: NO_RESOURCES })
    if (progress.graph.hasLongRunningStep) {
      const size = sumSteps(progress, context, (step) => step.isLongRunning ? 1 : 0)
      if (context.budget.tryAddLasting(progress.job.account, size)) demand.lasting = addResources(demand.lasting, size)
    } else {
      finite.push(progress)
    }
  }
  const excluded = new Set<JobProgress>()
  for (const job of listWaitingJobs(finite, context)) {
    const { progress, work, deadlineMs } = job
    if (context.budget.tryAdd(progress.job.account, work, deadlineMs - nowMs)) demands.get(progress.job.terms.service)?.jobs.push(job)
    else excluded.add(progress)
  }
  for (const progress of finite) {
    const isNew = progress.acceptedAtMs >= previousMs && !context.shares.isBeyondShare(progress, nowMs)
    const { service, priority } = progress.job.terms
    if (isNew && !excluded.has(progress)) inflow.add(service, priority, computeTotalWork(progress.job.steps))
  }
  return demands
}

function listJobs (ready: Iterable<ReadyStep>): Set<JobProgress> {
  const jobs = new Set<JobProgress>()
  for (const { progress } of ready) jobs.add(progress)
  return jobs
}

/** Lists the jobs with work that can still be completed within three times their objective, in the order of deadlines. */
function listWaitingJobs (jobs: readonly JobProgress[], context: DemandContext): WaitingJob[] {
  const waiting: WaitingJob[] = []
  for (const progress of jobs) {
    const { band } = computeUrgency(progress, context.nowMs)
    if (band !== URGENCY_BANDS.inTime && band !== URGENCY_BANDS.late) continue
    const work = sumSteps(progress, context, (step) => step.estimatedMs)
    if (work.cpuMillis > 0 || work.memoryMb > 0 || work.accelerators > 0) {
      waiting.push(createWaitingJob(progress, work, band === URGENCY_BANDS.late, context))
    }
  }
  return waiting.sort((left, right) => left.deadlineMs - right.deadlineMs)
}

function createWaitingJob (progress: JobProgress, work: Resources, isLate: boolean, { nowMs, shares }: DemandContext): WaitingJob {
  const { job, objectiveMs, acceptedAtMs, hasStarted, graph: { criticalPathMs } } = progress
  // The objective of a scheduled job moves with its occurrences, so its slack is computed from the terms.
  const slackMs = (job.terms.stretch - 1) * criticalPathMs + job.terms.targetDurationMs
  const waitedSinceMs = job.schedule === undefined ? acceptedAtMs : objectiveMs - slackMs - criticalPathMs
  return {
    progress,
    deadlineMs: isLate ? computeLateEndMs(progress) : objectiveMs,
    isLate,
    work,
    priority: job.terms.priority,
    isBeyondShare: shares.isBeyondShare(progress, nowMs),
    isEstablished: hasStarted || nowMs - waitedSinceMs >= slackMs * WAITED_SLACK_SHARE
  }
}

/**
 * Sums the waiting work by service and priority. Work beyond the accounts' shares, work that an account can't finish within three
 * objectives under its quota, jobs later than that and jobs that run until they are cancelled don't count.
 */
export function groupWaitingWork (ready: Iterable<ReadyStep>, context: DemandContext): Map<string, Map<number, Resources>> {
  const groups = new Map<string, Map<number, Resources>>()
  const ahead: JobProgress[] = []
  for (const progress of listJobs(ready)) {
    if (progress.graph.hasLongRunningStep || context.shares.isBeyondShare(progress, context.nowMs)) continue
    if (computeUrgency(progress, context.nowMs).band < URGENCY_BANDS.overdue) ahead.push(progress)
  }
  for (const progress of ahead.sort((left, right) => computeLateEndMs(left) - computeLateEndMs(right))) {
    const { account, terms: { service, priority } } = progress.job
    const work = sumSteps(progress, context, (step) => step.estimatedMs)
    if (!context.budget.tryAdd(account, work, computeLateEndMs(progress) - context.nowMs)) continue
    let group = groups.get(service)
    if (group === undefined) groups.set(service, group = new Map())
    group.set(priority, addResources(group.get(priority) ?? NO_RESOURCES, work))
  }
  return groups
}

/** Returns the sum of the jobs' work. */
export function sumWork (jobs: readonly WaitingJob[]): Resources {
  return jobs.reduce((sum, { work }) => addResources(sum, work), NO_RESOURCES)
}

/** Sums what the pending tasks of a job reserve, each multiplied by the weight of its step. */
function sumSteps (progress: JobProgress, context: DemandContext, readWeight: (step: JobStep) => number): Resources {
  let cpuMillis = 0
  let memoryMb = 0
  let accelerators = 0
  context.work?.add(progress.countOpenSteps())
  for (const steps of progress.listOpen()) {
    for (const step of steps) {
      const weight = countServable(progress, step, context) * readWeight(step.step)
      if (weight === 0) continue
      const size = computeReservedResources(step.step.size, step.step.usesIdleCapacity)
      cpuMillis += size.cpuMillis * weight
      memoryMb += size.memoryMb * weight
      accelerators += size.accelerators * weight
    }
  }
  return { cpuMillis, memoryMb, accelerators }
}

const NO_LIMITS = { countByTarget: new Map<string, number>(), permittedIds: undefined }

/** Counts the pending tasks of a step that the usable targets could run, one after the other unless they are a gang. */
function countServable (progress: JobProgress, step: StepProgress, { nowMs, checker, isPermittedNowhere }: DemandContext): number {
  const pending = step.countPending()
  if (pending === 0 || nowMs < step.notBeforeMs) return 0
  if (progress.job.terms.advice !== undefined && isPermittedNowhere(step)) return 0
  const needed = step.step.isGang ? pending : 1
  return checker.countPlaceable(progress.job.terms.service, step.step, needed, NO_LIMITS) < needed ? 0 : pending
}
