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

/** Calls longer than this go only to the first helpers of the list, so that short calls find others free. */
const LONG_CALL_MS = 250
/** Share of the helpers that take long calls. */
const LONG_CALL_INSTANCE_SHARE = 0.6
/** A helper gets its next call when it is expected to be free this soon, which hides the way of the message. */
const DISPATCH_LEAD_MS = 10
/** Added to the expected time of a call before it counts as lost. */
const CALL_TIMEOUT_MARGIN_MS = 800
/** Attempts for one question, each at another helper where there is one. */
const MAXIMUM_ATTEMPTS = 3
/** A helper that gave no answer is left out for this long: its machine may be gone and its link not yet known to be dead. */
const INSTANCE_BACKOFF_MS = 2_000
const DISPATCH_PERIOD_MS = 20

const answerSchema = z.array(z.object({ targetId: z.string(), ticket: z.string() }))

/** A question to the policy service, as sent to a helper. */
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
  /** Helpers that were asked, in order. */
  readonly tried: string[]
  readonly resolve: (answer: readonly AdvisedTarget[] | undefined) => void
}

interface InstanceLoad {
  busyUntilMs: number
  openCalls: number
  /** Left out until then. */
  pausedUntilMs: number
}

/**
 * Spreads the questions to the policy service over all instances: the service works one call at a time for each
 * calling instance. A question waits here, by urgency, until an instance is free, so that an instance that has just
 * connected takes its part and a long backlog never forms behind one of them.
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

  /** Asks which of the targets may run the step; undefined when no helper got an answer. */
  async fetchAdvice (
    stepName: string, targetIds: readonly string[], policy: AdvicePolicy, urgency: Urgency
  ): Promise<readonly AdvisedTarget[] | undefined> {
    const costMs = policy.decisionMs + policy.perTargetMs * targetIds.length
    return await new Promise((resolve) => {
      this.#pending.push({ stepName, targetIds, expectedMs: costMs, urgency, tried: [], resolve })
      if (this.#timer === undefined) this.#dispatchPending()
      else this.#dispatchSoon()
    })
  }

  /** Drops all questions that wait. */
  stop (): void {
    this.#timer?.cancel()
    this.#pending = []
  }

  /** Dispatches once for all questions that a round adds to those that wait, of which there are hundreds after a takeover. */
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
    const left: PendingAdviceRequest[] = []
    for (const [index, question] of this.#pending.entries()) {
      if (this.#findFreeInstance(names, nowMs) === undefined) {
        left.push(...this.#pending.slice(index))
        break
      }
      const helper = this.#chooseInstance(question, names, nowMs)
      if (helper === undefined) left.push(question)
      else void this.#askInstance(helper, question)
    }
    this.#pending = left
    if (left.length === 0 || this.#timer !== undefined) return
    this.#timer = this.#clock.startTimer(DISPATCH_PERIOD_MS, () => {
      this.#timer = undefined
      this.#dispatchPending()
    })
  }

  async #askInstance (name: string, question: PendingAdviceRequest): Promise<void> {
    const { stepName, targetIds, expectedMs: costMs } = question
    const helper = this.#ensureLoad(name)
    const sentAtMs = this.#clock.readMonotonicMs()
    helper.busyUntilMs = Math.max(sentAtMs, helper.busyUntilMs) + costMs
    helper.openCalls++
    question.tried.push(name)
    const timeoutMs = helper.busyUntilMs - sentAtMs + CALL_TIMEOUT_MARGIN_MS
    const body: AdviceRequest = { stepName, targetIds, timeoutMs }
    const result = await this.#network.sendRequest(toInstanceId(name), JOB_MESSAGES.askAdvice, body, timeoutMs)
    helper.openCalls--
    if (helper.openCalls === 0) helper.busyUntilMs = this.#clock.readMonotonicMs()
    const parsed = result.ok ? answerSchema.safeParse(result.val) : undefined
    if (parsed?.success === true) {
      helper.pausedUntilMs = 0
      question.resolve(parsed.data)
    } else {
      helper.pausedUntilMs = this.#clock.readMonotonicMs() + INSTANCE_BACKOFF_MS
      this.#retry(question, name, result.err ? result.val.message : 'the helper got no advice')
    }
    this.#dispatchPending()
  }

  #retry (question: PendingAdviceRequest, helper: string, reason: string): void {
    this.#logger.logWarning(JOB_EVENTS.adviceFailed, { step: question.stepName, helper, reason })
    if (question.tried.length >= MAXIMUM_ATTEMPTS) question.resolve(undefined)
    else this.#pending.push(question)
  }

  #chooseInstance ({ expectedMs: costMs, tried }: PendingAdviceRequest, names: readonly string[], nowMs: number): string | undefined {
    const candidates = costMs < LONG_CALL_MS ? names : names.slice(0, Math.max(1, Math.ceil(names.length * LONG_CALL_INSTANCE_SHARE)))
    const untried = candidates.filter((name) => !tried.includes(name))
    return this.#findFreeInstance(untried.length > 0 ? untried : candidates, nowMs)
  }

  /** The helper that is free first, if it is free soon. */
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

  /** Helpers that answer, or all where none does. */
  #listAvailableInstances (nowMs: number): string[] {
    const all = [...this.#network.listConnected().map((peer) => peer.instance as string).sort(), this.#network.self.instance as string]
    const answering = all.filter((name) => this.#ensureLoad(name).pausedUntilMs <= nowMs)
    return answering.length > 0 ? answering : all
  }

  #ensureLoad (name: string): InstanceLoad {
    let helper = this.#loads.get(name)
    if (helper === undefined) {
      helper = { busyUntilMs: 0, openCalls: 0, pausedUntilMs: 0 }
      this.#loads.set(name, helper)
    }
    return helper
  }
}
