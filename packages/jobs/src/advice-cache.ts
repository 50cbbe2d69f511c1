import type { AdvisedTarget } from './advice-gateway.js'

/** A ticket with less time left is refreshed, since the intent must be stored and the order must arrive before it expires. */
const MINIMUM_TICKET_VALIDITY_MS = 300

interface StepAdvice {
  /** Tickets by target, with the monotonic time at which they expire. */
  readonly tickets: Map<string, { readonly ticket: string, readonly expiresAtMs: number }>
  /** Targets that have been named in an answered request to the policy service. */
  readonly asked: Set<string>
  /** Number of requests that are not answered yet. */
  openRequests: number
  /** Monotonic time before which a failed request isn't repeated. */
  notBeforeMs: number
  /** Whether the last request has failed. */
  isFailing: boolean
  /** Monotonic time before which it isn't checked whether the step needs advice on more targets, or new tickets. */
  nextCheckMs: number
  /** Monotonic time since which the step has waited for capacity; undefined while it hasn't. */
  waitingSinceMs: number | undefined
}

/** Caches the policy service's answers by step. Which targets may run a step doesn't change, whereas tickets expire. */
export class AdviceCache {
  readonly #steps = new Map<string, StepAdvice>()

  /** Whether the policy service has answered at least one request for the step. */
  hasAnswer (stepName: string): boolean {
    return (this.#steps.get(stepName)?.asked.size ?? 0) > 0
  }

  /** Whether the policy service has answered for a step and has permitted no target so far. */
  isPermittedNowhere (stepName: string): boolean {
    const advice = this.#steps.get(stepName)
    return advice !== undefined && advice.asked.size > 0 && advice.tickets.size === 0
  }

  /** Whether a request is in flight, or a failed one must not be repeated yet. */
  isWaiting (stepName: string, nowMs: number): boolean {
    const advice = this.#steps.get(stepName)
    return advice !== undefined && (advice.openRequests > 0 || nowMs < advice.notBeforeMs)
  }

  /** Whether it may be checked now if the step needs advice on more targets, or new tickets. */
  isCheckDue (stepName: string, nowMs: number): boolean {
    return nowMs >= (this.#steps.get(stepName)?.nextCheckMs ?? 0)
  }

  pauseChecks (stepName: string, notBeforeMs: number): void {
    this.#ensure(stepName).nextCheckMs = notBeforeMs
  }

  /** Records that the step was not placed. Returns for how long it has waited. */
  recordWaiting (stepName: string, nowMs: number): number {
    const advice = this.#ensure(stepName)
    advice.waitingSinceMs ??= nowMs
    return nowMs - advice.waitingSinceMs
  }

  /** Records that tasks of the step were placed. */
  recordPlaced (stepName: string): void {
    const advice = this.#steps.get(stepName)
    if (advice !== undefined) advice.waitingSinceMs = undefined
  }

  isPermitted (stepName: string, targetId: string): boolean {
    return this.#steps.get(stepName)?.tickets.has(targetId) === true
  }

  /** Lists those of the targets for which no advice has been received. */
  listUnasked (stepName: string, targetIds: readonly string[]): string[] {
    const asked = this.#steps.get(stepName)?.asked
    return asked === undefined ? [...targetIds] : targetIds.filter((id) => !asked.has(id))
  }

  /** Whether the policy service has answered for the target. */
  hasBeenAsked (stepName: string, targetId: string): boolean {
    return this.#steps.get(stepName)?.asked.has(targetId) === true
  }

  listPermitted (stepName: string): string[] {
    return [...this.#steps.get(stepName)?.tickets.keys() ?? []]
  }

  /** Lists the targets on which the step may be started without another request. */
  listTicketed (stepName: string, nowMs: number): string[] {
    return this.listPermitted(stepName).filter((id) => this.findTicket(stepName, id, nowMs) !== undefined)
  }

  /** Returns the ticket for a target; undefined when there is none or it expires too soon to be used. */
  findTicket (stepName: string, targetId: string, nowMs: number): string | undefined {
    const entry = this.#steps.get(stepName)?.tickets.get(targetId)
    return entry === undefined || entry.expiresAtMs - nowMs < MINIMUM_TICKET_VALIDITY_MS ? undefined : entry.ticket
  }

  markInFlight (stepName: string): void {
    this.#ensure(stepName).openRequests++
  }

  recordAnswer (stepName: string, askedIds: readonly string[], permitted: readonly AdvisedTarget[], expiresAtMs: number): void {
    const advice = this.#ensure(stepName)
    advice.openRequests--
    advice.isFailing = false
    for (const id of askedIds) advice.asked.add(id)
    for (const { targetId, ticket } of permitted) advice.tickets.set(targetId, { ticket, expiresAtMs })
  }

  recordFailure (stepName: string, notBeforeMs: number): void {
    const advice = this.#ensure(stepName)
    advice.openRequests--
    advice.notBeforeMs = notBeforeMs
    advice.isFailing = true
  }

  /** Whether the last request for the step has failed, so that it is unknown when the next tickets come. */
  isFailing (stepName: string): boolean {
    return this.#steps.get(stepName)?.isFailing === true
  }

  /** Invalidates a ticket that its target refused, so that a new one is requested before the next order. */
  expireTicket (stepName: string, targetId: string): void {
    const advice = this.#steps.get(stepName)
    const entry = advice?.tickets.get(targetId)
    if (advice !== undefined && entry !== undefined) advice.tickets.set(targetId, { ...entry, expiresAtMs: 0 })
  }

  forget (stepName: string): void {
    this.#steps.delete(stepName)
  }

  #ensure (stepName: string): StepAdvice {
    let advice = this.#steps.get(stepName)
    if (advice === undefined) {
      advice = {
        tickets: new Map(), asked: new Set(), openRequests: 0, notBeforeMs: 0, isFailing: false, nextCheckMs: 0, waitingSinceMs: undefined
      }
      this.#steps.set(stepName, advice)
    }
    return advice
  }
}
