import type { JobProgress } from '../job-progress.js'
import type { TargetView } from '../target-view.js'
import { OVERLOAD_DECISIONS, type OverloadDecision } from '../urgency.js'
import { CapacitySupply } from './capacity-supply.js'
import { SlackTree } from './slack-tree.js'
import { sumWork, type ServiceDemand, type WaitingJob } from './waiting-demand.js'
import { PACKING_FACTOR, type ResourceName } from './work-amount.js'

/** Time for which more urgent work is expected to go on arriving at its present rate: half the length of a usual burst. */
const FORECAST_MS = 3_000

/** The jobs that are delayed or promoted. */
export type OverloadPlan = ReadonlyMap<JobProgress, OverloadDecision>

/** A job with its position among the deadlines. */
interface RankedJob {
  readonly job: WaitingJob
  readonly index: number
}

/**
 * Chooses the waiting jobs to be delayed when not all of them can meet their objective, and the late ones that needn't go after all
 * that are in time. A job can be served in time if the work due by its objective, and by each later one, fits into the capacity
 * offered until then less what arriving work of higher priority is expected to need. The jobs are added in the order in which they
 * are to be kept, and each that doesn't fit beside those before it is delayed. Of the jobs within their account's share, late ones
 * come after those in time, with three times their objective as the deadline; one that fits is promoted. Jobs beyond their share
 * follow in the same way. For jobs in time this has the same result as delaying the least of the jobs due by the first deadline that
 * can't be met, and taking back those that needn't have been delayed.
 */
export class OverloadPlanner {
  /** Returns the jobs that are delayed or promoted. Services are planned independently. */
  plan (demands: ReadonlyMap<string, ServiceDemand>, targets: readonly TargetView[], nowMs: number): OverloadPlan {
    const supplies = new Map<string, CapacitySupply>()
    for (const target of targets) {
      let supply = supplies.get(target.service)
      if (supply === undefined) supplies.set(target.service, supply = new CapacitySupply(nowMs))
      supply.add(target)
    }
    const decisions = new Map<JobProgress, OverloadDecision>()
    for (const [service, demand] of demands) {
      const supply = supplies.get(service)
      if (supply === undefined) continue
      supply.reserve(demand.lasting)
      planService(demand, supply, nowMs, decisions)
    }
    return decisions
  }
}

function planService (demand: ServiceDemand, supply: CapacitySupply, nowMs: number, decisions: Map<JobProgress, OverloadDecision>): void {
  const byDeadline = demand.jobs.toSorted((left, right) => left.deadlineMs - right.deadlineMs)
  const resource = supply.findScarcest(sumWork(byDeadline))
  const deadlinesMs = byDeadline.map(({ deadlineMs }) => deadlineMs)
  const slack = supply.computeCumulative(resource, deadlinesMs).map((amount) => amount * PACKING_FACTOR)
  const ranked = byDeadline.map((job, index) => ({ job, index })).sort((left, right) => compareRank(left.job, right.job))
  for (const group of splitGroups(ranked)) {
    const left = estimateSlack(slack, deadlinesMs, readMoreUrgentRate(demand, group, resource), nowMs)
    const kept = hasSlackFor(left, group, resource) ? new Set(group) : selectKept(left, group, resource)
    for (const entry of group) {
      const { isLate, progress } = entry.job
      if (isLate && kept.has(entry)) decisions.set(progress, OVERLOAD_DECISIONS.promoted)
      if (!isLate && !kept.has(entry)) decisions.set(progress, OVERLOAD_DECISIONS.delayed)
    }
    subtractWork(slack, kept, resource)
  }
}

/** Returns the jobs that fit, each beside those before it. */
function selectKept (slack: readonly number[], group: readonly RankedJob[], resource: ResourceName): Set<RankedJob> {
  const tree = new SlackTree(slack)
  return new Set(group.filter(({ job, index }) => tree.tryAdd(index, job.work[resource])))
}

/** Splits ranked jobs into groups of the same priority, those that are late or beyond their account's share apart. */
function splitGroups (ranked: readonly RankedJob[]): RankedJob[][] {
  const groups: RankedJob[][] = []
  for (const entry of ranked) {
    const group = groups.at(-1)
    const first = group?.[0]?.job
    if (first !== undefined && compareGroup(first, entry.job) === 0) group?.push(entry)
    else groups.push([entry])
  }
  return groups
}

/**
 * Returns how much of a resource arriving work needs that goes before a group of jobs: work of higher priority, and for jobs that are
 * late or beyond their account's share also work of the same priority. Work of lower priority can wait for longer.
 */
function readMoreUrgentRate ({ inflow }: ServiceDemand, group: readonly RankedJob[], resource: ResourceName): number {
  const first = group[0]?.job
  let rate = 0
  for (const [priority, work] of inflow) {
    if (first === undefined || priority > first.priority) continue
    if (priority < first.priority || first.isLate || first.isBeyondShare) rate += work[resource]
  }
  return rate
}

/** Subtracts from the slack at each deadline what arriving work needs until then. Nothing is left where the slack is used up. */
function estimateSlack (slack: readonly number[], deadlinesMs: readonly number[], rate: number, nowMs: number): number[] {
  return slack.map((amount, index) => Math.max(0, amount - rate * Math.min(FORECAST_MS, (deadlinesMs[index] ?? nowMs) - nowMs)))
}

/** Whether all jobs of a group fit. */
function hasSlackFor (slack: readonly number[], group: readonly RankedJob[], resource: ResourceName): boolean {
  const left = [...slack]
  subtractWork(left, group, resource)
  return left.every((amount) => amount >= 0)
}

/** Subtracts work from the slack at its deadline and at all later ones. */
function subtractWork (slack: number[], group: Iterable<RankedJob>, resource: ResourceName): void {
  const due = new Float64Array(slack.length)
  for (const { job, index } of group) due[index] = job.work[resource]
  let sum = 0
  for (const [index, work] of due.entries()) {
    sum += work
    slack[index] = (slack[index] ?? 0) - sum
  }
}

/** Orders jobs by how much is lost if they are delayed, the most first. */
function compareRank (left: WaitingJob, right: WaitingJob): number {
  return compareGroup(left, right) ||
    Number(right.isEstablished) - Number(left.isEstablished) ||
    left.progress.acceptedAtMs - right.progress.acceptedAtMs
}

function compareGroup (left: WaitingJob, right: WaitingJob): number {
  return Number(left.isBeyondShare) - Number(right.isBeyondShare) ||
    Number(left.isLate) - Number(right.isLate) ||
    left.priority - right.priority
}
