import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { MetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import { AdviceCache } from './advice-cache.js'
import type { AdviceDispatcher } from './advice-dispatcher.js'
import { MAXIMUM_TARGETS_PER_REQUEST, MINIMUM_TARGETS_PER_REQUEST, selectAdviceTargets, splitAdviceTargets, type AdviceCandidate } from './advice-selection.js'
import { JOB_EVENTS } from './job-events.js'
import { JOB_METRICS } from './job-metrics.js'
import type { AdvicePolicy, JobStep } from './job.js'
import { PermittedShare } from './permitted-share.js'
import type { Urgency } from './urgency.js'

/** Targets that the calls of one request may name together. */
const MAXIMUM_TARGETS_PER_STEP = 3 * MAXIMUM_TARGETS_PER_REQUEST
/** Pause before a request is repeated that no instance could get answered. */
const RETRY_DELAY_MS = 300
/** A step waits this long for permitted targets that are expected to hold it before a few free ones are asked about as well. */
const MAXIMUM_WAIT_MS = 2_000

/** A step whose queue has a placement policy, as needed for a request to the policy service. */
export interface AdvisedStep {
  readonly stepName: string
  readonly queue: string
  readonly policy: AdvicePolicy
  readonly step: JobStep
  /** Tasks that need a target now; in a gang, all members count. */
  readonly taskCount: number
  readonly urgency: Urgency
}

/** How a step waits for the targets that are permitted so far. */
export interface CapacityWait {
  readonly waitedMs: number
  /** Whether these targets are not expected to hold the step. */
  isStuck (): boolean
  /** Whether most of the capacity of the step's service is idle. */
  isIdle (): boolean
}

/** Decides for which targets and when advice on a step is requested from the policy service, and caches the answers. */
export class AdviceRequester {
  readonly cache = new AdviceCache()
  readonly #clock: Clock
  readonly #logger: EventLogger
  readonly #metrics: MetricSink
  readonly #dispatcher: AdviceDispatcher
  readonly #onAnswered: () => void
  readonly #shares = new PermittedShare()
  #requestCount = 0

  constructor (clock: Clock, logger: EventLogger, metrics: MetricSink, dispatcher: AdviceDispatcher, onAnswered: () => void) {
    this.#clock = clock
    this.#logger = logger
    this.#metrics = metrics
    this.#dispatcher = dispatcher
    this.#onAnswered = onAnswered
  }

  stop (): void {
    this.#dispatcher.stop()
  }

  /** Makes the first request for a step. */
  requestInitial (advised: AdvisedStep, candidates: readonly AdviceCandidate[]): void {
    this.#request(advised, this.#selectTargets(advised, candidates, this.#shares.read(advised.queue)))
  }

  /**
   * Requests advice on targets that no request has named yet: when those with free capacity are likely to hold the step, when
   * the targets permitted so far are not expected to hold it, or when the step has waited for them for long although most of the
   * capacity is idle, some of the targets have free capacity and the policy service has time.
   */
  requestExtension (advised: AdvisedStep, unasked: readonly AdviceCandidate[], wait: CapacityWait): void {
    const share = this.#shares.read(advised.queue)
    const withFreeSlots = unasked.filter(({ freeSlots }) => freeSlots > 0)
    const expectedSlots = withFreeSlots.reduce((sum, { freeSlots }) => sum + freeSlots, 0) * share
    const needed = advised.step.isGang ? advised.taskCount : 1
    if (expectedSlots >= needed) this.#request(advised, this.#selectTargets(advised, withFreeSlots, share))
    else if (unasked.length > 0 && wait.isStuck()) this.#request(advised, this.#selectTargets(advised, unasked, share))
    else if (withFreeSlots.length > 0 && wait.waitedMs > MAXIMUM_WAIT_MS && wait.isIdle() && this.hasSpareTime(advised.policy)) {
      this.#request(advised, this.#selectTargets(advised, withFreeSlots, share))
    }
  }

  /** Requests new tickets for permitted targets whose tickets have expired: the chosen ones and some alternatives. */
  refreshTickets (advised: AdvisedStep, chosenIds: readonly string[], permitted: readonly AdviceCandidate[]): void {
    const ids = new Set([...chosenIds, ...this.#selectTargets(advised, permitted, 1)])
    this.#request(advised, [...ids].slice(0, MAXIMUM_TARGETS_PER_REQUEST))
  }

  /**
   * Requests new tickets for a gang that waits for capacity, if its last ones would expire before the next check and the policy
   * service has time. A gang without tickets keeps its capacity idle until the service has answered. Returns whether a request
   * was made.
   */
  renewTickets (advised: AdvisedStep, permitted: readonly AdviceCandidate[], checkPeriodMs: number): boolean {
    const { stepName, policy } = advised
    const targetIds = this.#selectTargets(advised, permitted, 1).slice(0, MAXIMUM_TARGETS_PER_REQUEST)
    const expectedMs = policy.decisionMs + policy.perTargetMs * targetIds.length
    const validUntilMs = this.#clock.readMonotonicMs() + expectedMs + checkPeriodMs
    if (this.cache.listTicketed(stepName, validUntilMs).length > 0 || !this.#dispatcher.hasSpareInstances(expectedMs)) return false
    this.#request(advised, targetIds)
    return targetIds.length > 0
  }

  /** Whether the policy service has time for one more request that can be left out. */
  hasSpareTime ({ decisionMs, perTargetMs }: AdvicePolicy): boolean {
    return this.#dispatcher.hasSpareInstances(decisionMs + perTargetMs * MINIMUM_TARGETS_PER_REQUEST)
  }

  #selectTargets ({ step, taskCount, policy }: AdvisedStep, candidates: readonly AdviceCandidate[], permittedShare: number): string[] {
    return selectAdviceTargets(candidates, step, taskCount, policy, permittedShare, this.#requestCount++, MAXIMUM_TARGETS_PER_STEP)
  }

  /** Makes the calls of a request at the same time, through several instances. */
  #request (advised: AdvisedStep, asked: readonly string[]): void {
    if (asked.length === 0 || this.cache.isWaiting(advised.stepName, this.#clock.readMonotonicMs())) return
    for (const targetIds of splitAdviceTargets(asked, advised.policy)) this.#sendCall(advised, targetIds)
  }

  #sendCall ({ stepName, policy, urgency, queue }: AdvisedStep, asked: readonly string[]): void {
    const nowMs = this.#clock.readMonotonicMs()
    this.cache.markInFlight(stepName)
    const werePermitted = asked.every((id) => this.cache.isPermitted(stepName, id))
    void this.#dispatcher.fetchAdvice(stepName, asked, policy, urgency).then((permitted) => {
      const answeredAtMs = this.#clock.readMonotonicMs()
      this.#metrics.recordTiming(JOB_METRICS.advice, answeredAtMs - nowMs)
      if (permitted === undefined) return this.cache.recordFailure(stepName, answeredAtMs + RETRY_DELAY_MS)
      this.#logger.logInfo(JOB_EVENTS.adviceReceived, {
        step: stepName, asked: asked.length, permitted: permitted.length, afterMs: Math.round(answeredAtMs - nowMs)
      })
      if (!werePermitted) this.#shares.record(queue, asked.length, permitted.length)
      this.cache.recordAnswer(stepName, asked, permitted, answeredAtMs + policy.validityMs)
      this.#onAnswered()
    })
  }
}
