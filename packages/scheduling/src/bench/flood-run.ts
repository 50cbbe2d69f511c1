import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import type { RequestId } from '@hibiscusledge/runtime/identifiers.js'
import type { Decision, RunResult } from '../decision.js'
import { URGENCIES, type Urgency } from '../urgency.js'
import type { WorkItem } from '../work-item.js'
import { buildBenchItem, buildSiteTargets } from './bench-builders.js'
import type { BenchScheduler } from './bench-scheduler.js'
import type { BenchKind, BenchSite } from './bench-site.js'
import { type ClassReports, createReports, recordWait } from './class-report.js'
import { VirtualEventLoop } from './virtual-event-loop.js'

/** Extra load offered after the warm-up. */
export interface Flood {
  readonly urgencies: readonly Urgency[]
  /** Load offered by each of the classes, as a multiple of the pool's capacity. */
  readonly capacityMultiple: number
}

export const NO_FLOOD: Flood = { urgencies: [], capacityMultiple: 0 }

const WARM_UP_MS = 5_000
const TICK_MS = 5
const MAX_DECISIONS = 10_000
const CHECKPOINT_MS = 400

interface Job {
  readonly kind: BenchKind
  readonly item: WorkItem
  readonly isFlood: boolean
  remainingMs: number
  startedAtMs: number
  run: number
}

/** Runs the work of a site against one scheduler in virtual time. */
export class FloodRun {
  readonly #loop = new VirtualEventLoop()
  readonly #site: BenchSite
  readonly #scheduler: BenchScheduler
  readonly #seed: number
  readonly #measureMs: number
  readonly #jobs = new Map<RequestId, Job>()
  readonly #running: Record<Urgency, number> = { urgent: 0, high: 0, normal: 0, low: 0 }
  readonly reports: ClassReports = createReports()
  #nextId = 0
  #sampledAtMs = WARM_UP_MS

  constructor (site: BenchSite, scheduler: BenchScheduler, seed: number, measureMs: number) {
    this.#site = site
    this.#scheduler = scheduler
    this.#seed = seed
    this.#measureMs = measureMs
  }

  run (flood: Flood): ClassReports {
    const endMs = WARM_UP_MS + this.#measureMs
    for (const [index, kind] of this.#site.kinds.entries()) {
      // Each stream has its own random source, so that ordinary arrivals are the same in every run.
      const rate = kind.loadShare / this.#computeWork(kind)
      this.#startStream(kind, rate, false, 0, endMs, new SeededRandomSource(this.#seed * 100 + index))
      if (!flood.urgencies.includes(kind.urgency)) continue
      const floodRandom = new SeededRandomSource(this.#seed * 100 + 50 + index)
      this.#startStream(kind, flood.capacityMultiple / this.#computeWork(kind), true, WARM_UP_MS, endMs, floodRandom)
    }
    for (let atMs = 0; atMs <= endMs; atMs += TICK_MS) this.#loop.schedule(atMs, () => { this.#runTick() })
    this.#loop.run(endMs)
    return this.reports
  }

  get #isMeasuring (): boolean { return this.#loop.nowMs >= WARM_UP_MS }

  /** Returns the average work of an item of the kind, as share of the pool's capacity times milliseconds. */
  #computeWork (kind: BenchKind): number {
    return this.#computeShare(kind) * kind.meanRuntimeMs
  }

  #computeShare (kind: BenchKind): number {
    const targets = buildSiteTargets(this.#site)
    if (this.#site.targetKind === 'executor') return 1 / targets.reduce((sum, target) => sum + target.slots, 0)
    const cores = targets.reduce((sum, target) => sum + target.capacity.cores, 0)
    const memoryMb = targets.reduce((sum, target) => sum + target.capacity.memoryMb, 0)
    return Math.max(kind.resources.cores / cores, kind.resources.memoryMb / memoryMb)
  }

  #startStream (kind: BenchKind, ratePerMs: number, isFlood: boolean, fromMs: number, endMs: number, random: SeededRandomSource): void {
    const drawGapMs = (): number => -Math.log(1 - random.drawFraction()) / ratePerMs
    const arrive = (): void => {
      // Run times vary between 0.5 and 1.5 times the mean.
      this.#submit(kind, isFlood, kind.meanRuntimeMs * (0.5 + random.drawFraction()))
      const nextMs = this.#loop.nowMs + drawGapMs()
      if (nextMs < endMs) this.#loop.schedule(nextMs, arrive)
    }
    this.#loop.schedule(fromMs + drawGapMs(), arrive)
  }

  #submit (kind: BenchKind, isFlood: boolean, runtimeMs: number): void {
    const { nowMs } = this.#loop
    const item = buildBenchItem(`r${this.#nextId++}`, {
      kind: kind.kind,
      team: isFlood ? 'flood' : kind.kind,
      urgency: kind.urgency,
      resources: kind.resources,
      isResumable: kind.isResumable,
      enqueuedAtMs: nowMs,
      deadlineAtMs: nowMs + kind.deadlineMs
    })
    const report = this.reports[kind.urgency]
    if (this.#isMeasuring) {
      if (isFlood) report.floodOffered++
      else report.ordinaryOffered++
    }
    if (this.#scheduler.admit(item, nowMs).isAdmitted) {
      this.#jobs.set(item.requestId, { kind, item, isFlood, remainingMs: runtimeMs, startedAtMs: 0, run: 0 })
    } else if (this.#isMeasuring) {
      report.rejected++
    }
  }

  #runTick (): void {
    this.#sampleUse()
    for (const decision of this.#scheduler.schedule(this.#loop.nowMs, MAX_DECISIONS)) this.#apply(decision)
  }

  #apply (decision: Decision): void {
    const { nowMs } = this.#loop
    if (decision.type === 'preempt') {
      this.#loop.schedule(nowMs + CHECKPOINT_MS, () => { this.#preempt(decision.requestId) })
      return
    }
    const job = this.#jobs.get(decision.item.requestId)
    if (job === undefined) return
    const report = this.reports[job.kind.urgency]
    if (decision.type === 'expire') {
      this.#jobs.delete(decision.item.requestId)
      if (this.#isMeasuring) report.expired++
      return
    }
    if (this.#isMeasuring && job.run === 0) recordWait(report, nowMs - job.item.enqueuedAtMs)
    job.startedAtMs = nowMs
    const run = ++job.run
    this.#running[job.kind.urgency]++
    this.#loop.schedule(nowMs + job.remainingMs, () => { this.#finish(job, run) })
  }

  #finish (job: Job, run: number): void {
    if (job.run !== run || !this.#jobs.delete(job.item.requestId)) return
    this.#release(job, 'succeeded')
    if (!this.#isMeasuring) return
    if (job.isFlood) this.reports[job.kind.urgency].floodCompleted++
    else this.reports[job.kind.urgency].ordinaryCompleted++
  }

  /** Ends a running item early, as after a checkpoint, and queues the rest of its run time again. */
  #preempt (requestId: RequestId): void {
    const job = this.#jobs.get(requestId)
    if (job === undefined) return
    const { nowMs } = this.#loop
    job.run++
    job.remainingMs = Math.max(1, job.remainingMs - (nowMs - job.startedAtMs))
    this.#release(job, 'refused')
    if (!this.#scheduler.admit({ ...job.item, attempt: job.item.attempt + 1 }, nowMs).isAdmitted) this.#jobs.delete(requestId)
  }

  #release (job: Job, result: RunResult): void {
    this.#sampleUse()
    this.#running[job.kind.urgency]--
    this.#scheduler.releaseTask(job.item.requestId, 0, result, this.#loop.nowMs)
  }

  #sampleUse (): void {
    if (!this.#isMeasuring) return
    const elapsedMs = this.#loop.nowMs - this.#sampledAtMs
    this.#sampledAtMs = this.#loop.nowMs
    for (const urgency of URGENCIES) {
      const kind = this.#site.kinds.find((candidate) => candidate.urgency === urgency)
      if (kind !== undefined) this.reports[urgency].usedShareMs += this.#running[urgency] * this.#computeShare(kind) * elapsedMs
    }
  }
}
