import type { PeerNetwork } from '@hibiscusledge/peer/peer-network.js'
import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { toInstanceId } from '@hibiscusledge/runtime/identifiers.js'
import { z } from 'zod'
import type { AdvisedTarget } from './advice-gateway.js'
import { JOB_EVENTS } from './job-events.js'
import { JOB_MESSAGES } from './job-messages.js'
import type { AdvicePolicy } from './job.js'
import { compareUrgency, type Urgency } from './urgency.js'

/** Calls longer than this go only to the first instances of the list, so that the others stay free for short calls. */
const LONG_CALL_MS = 250
/** Share of the instances that take long calls. */
const LONG_CALL_INSTANCE_SHARE = 0.6
/** Share of the instances that calls which can be left out don't use. */
const SPARE_INSTANCE_SHARE = 0.5
/** An instance gets its next call this long before it is expected to be free, which hides the latency of the message. */
const DISPATCH_LEAD_MS = 10
/** Added to the expected duration of a call to give its time-out. */
const CALL_TIMEOUT_MARGIN_MS = 800
/** Attempts for one request, each through another instance where there is one. */
const MAXIMUM_ATTEMPTS = 3
/** An instance that gave no answer is skipped for this long: its machine may have failed before its link is known to be down. */
const INSTANCE_BACKOFF_MS = 2_000
const DISPATCH_PERIOD_MS = 20

const answerSchema = z.array(z.object({ targetId: z.string(), ticket: z.string() }))

/** A request to the policy service, as sent to the instance that makes the call. */
export interface AdviceRequest {
  readonly stepName: string
  readonly targetIds: readonly string[]
  readonly timeoutMs: number
}

interface PendingAdviceRequest {
  readonly stepName: string
  readonly targetIds: readonly string[]
  readonly expectedMs: number
  readonly urgency: Urgency
  /** Instances that were asked, in order. */
  readonly tried: string[]
  readonly resolve: (answer: readonly AdvisedTarget[] | undefined) => void
}

interface InstanceLoad {
  /** Monotonic time at which the instance's calls are expected to be answered. */
  busyUntilMs: number
  openCalls: number
  /** Monotonic time until which the instance is skipped after a failed call. */
  pausedUntilMs: number
}

/**
 * Distributes the requests to the policy service over all instances, since the service handles the calls of one instance
 * one at a time. Requests are queued here by urgency until an instance is free, so that an instance that has just connected
 * takes its share and no long backlog forms behind another one.
 */
export class AdviceDispatcher {
  readonly #clock: Clock
  readonly #logger: EventLogger
  readonly #network: PeerNetwork
  readonly #loads = new Map<string, InstanceLoad>()
  #pending: PendingAdviceRequest[] = []
  #isDispatchDue = false
  #timer: Timer | undefined

  constructor (clock: Clock, logger: EventLogger, network: PeerNetwork) {
    this.#clock = clock
    this.#logger = logger
    this.#network = network
  }

  /** Returns the targets that may run the step, with their tickets; undefined when no instance got an answer. */
  async fetchAdvice (
    stepName: string, targetIds: readonly string[], policy: AdvicePolicy, urgency: Urgency
  ): Promise<readonly AdvisedTarget[] | undefined> {
    const expectedMs = policy.decisionMs + policy.perTargetMs * targetIds.length
    return await new Promise((resolve) => {
      this.#pending.push({ stepName, targetIds, expectedMs, urgency, tried: [], resolve })
      if (this.#timer === undefined) this.#dispatchPending()
      else this.#dispatchSoon()
    })
  }

  /** Whether a call of this duration could be made at once and most instances that take such calls would stay free. */
  hasSpareInstances (expectedMs: number): boolean {
    if (this.#pending.length > 0) return false
    const nowMs = this.#clock.readMonotonicMs()
    const names = this.#listInstancesFor(expectedMs, this.#listAvailableInstances(nowMs))
    const free = names.filter((name) => this.#ensureLoad(name).busyUntilMs <= nowMs)
    return free.length > names.length * SPARE_INSTANCE_SHARE
  }

  /** Drops all queued requests. Their promises stay pending. */
  stop (): void {
    this.#timer?.cancel()
    this.#pending = []
  }

  /** Dispatches once for all requests of a placement round, since after a takeover hundreds may be queued. */
  #dispatchSoon (): void {
    if (this.#isDispatchDue) return
    this.#isDispatchDue = true
    queueMicrotask(() => {
      this.#isDispatchDue = false
      this.#dispatchPending()
    })
  }

  #dispatchPending (): void {
    if (this.#pending.length === 0) return
    this.#pending.sort((left, right) => compareUrgency(left.urgency, right.urgency))
    const nowMs = this.#clock.readMonotonicMs()
    const names = this.#listAvailableInstances(nowMs)
    const remaining: PendingAdviceRequest[] = []
    for (const [index, request] of this.#pending.entries()) {
      if (this.#findFreeInstance(names, nowMs) === undefined) {
        remaining.push(...this.#pending.slice(index))
        break
      }
      const name = this.#chooseInstance(request, names, nowMs)
      if (name === undefined) remaining.push(request)
      else void this.#askInstance(name, request)
    }
    this.#pending = remaining
    if (remaining.length === 0 || this.#timer !== undefined) return
    this.#timer = this.#clock.startTimer(DISPATCH_PERIOD_MS, () => {
      this.#timer = undefined
      this.#dispatchPending()
    })
  }

  async #askInstance (name: string, request: PendingAdviceRequest): Promise<void> {
    const { stepName, targetIds, expectedMs } = request
    const load = this.#ensureLoad(name)
    const sentAtMs = this.#clock.readMonotonicMs()
    load.busyUntilMs = Math.max(sentAtMs, load.busyUntilMs) + expectedMs
    load.openCalls++
    request.tried.push(name)
    const timeoutMs = load.busyUntilMs - sentAtMs + CALL_TIMEOUT_MARGIN_MS
    const body: AdviceRequest = { stepName, targetIds, timeoutMs }
    const result = await this.#network.sendRequest(toInstanceId(name), JOB_MESSAGES.askAdvice, body, timeoutMs)
    load.openCalls--
    if (load.openCalls === 0) load.busyUntilMs = this.#clock.readMonotonicMs()
    const parsed = result.ok ? answerSchema.safeParse(result.val) : undefined
    if (parsed?.success === true) {
      load.pausedUntilMs = 0
      request.resolve(parsed.data)
    } else {
      load.pausedUntilMs = this.#clock.readMonotonicMs() + INSTANCE_BACKOFF_MS
      this.#retry(request, name, result.err ? result.val.message : 'the helper got no advice')
    }
    this.#dispatchPending()
  }

  #retry (request: PendingAdviceRequest, name: string, reason: string): void {
    this.#logger.logWarning(JOB_EVENTS.adviceFailed, { step: request.stepName, helper: name, reason })
    if (request.tried.length >= MAXIMUM_ATTEMPTS) request.resolve(undefined)
    else this.#pending.push(request)
  }

  #chooseInstance ({ expectedMs, tried }: PendingAdviceRequest, names: readonly string[], nowMs: number): string | undefined {
    const candidates = this.#listInstancesFor(expectedMs, names)
    const untried = candidates.filter((name) => !tried.includes(name))
    return this.#findFreeInstance(untried.length > 0 ? untried : candidates, nowMs)
  }

  #listInstancesFor (expectedMs: number, names: readonly string[]): readonly string[] {
    return expectedMs < LONG_CALL_MS ? names : names.slice(0, Math.max(1, Math.ceil(names.length * LONG_CALL_INSTANCE_SHARE)))
  }

  /** Returns the instance that becomes free first, if that is within `DISPATCH_LEAD_MS`. */
  #findFreeInstance (names: readonly string[], nowMs: number): string | undefined {
    let best: string | undefined
    let bestBusyUntilMs = nowMs + DISPATCH_LEAD_MS
    for (const name of names) {
      const { busyUntilMs } = this.#ensureLoad(name)
      if (busyUntilMs >= bestBusyUntilMs) continue
      best = name
      bestBusyUntilMs = busyUntilMs
    }
    return best
  }

  /** Lists the instances that are not skipped after a failed call, or all when none is left. */
  #listAvailableInstances (nowMs: number): string[] {
    const all = [...this.#network.listConnected().map((peer) => peer.instance as string).sort(), this.#network.self.instance as string]
    const answering = all.filter((name) => this.#ensureLoad(name).pausedUntilMs <= nowMs)
    return answering.length > 0 ? answering : all
  }

  #ensureLoad (name: string): InstanceLoad {
    let load = this.#loads.get(name)
    if (load === undefined) {
      load = { busyUntilMs: 0, openCalls: 0, pausedUntilMs: 0 }
      this.#loads.set(name, load)
    }
    return load
  }
}
