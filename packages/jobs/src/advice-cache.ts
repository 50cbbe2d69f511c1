import type { AdvisedTarget } from './advice-gateway.js'

/** A ticket is refreshed when less than this is left: the intent must be stored and the order must arrive. */
const MINIMUM_TICKET_VALIDITY_MS = 300

interface StepAdvice {
  /** Tickets by target, with the monotonic time at which they end. */
  readonly tickets: Map<string, { readonly ticket: string, readonly endsAtMs: number }>
  /** Targets that the policy was asked about. */
  readonly asked: Set<string>
  isAsking: boolean
  notBeforeMs: number
  /** Until when it needn't be checked whether other targets are worth a question. */
  nextExtensionCheckMs: number
}

/** What the policy service has said of each step. Which targets may run a step doesn't change; tickets expire. */
export class AdviceCache {
  readonly #steps = new Map<string, StepAdvice>()

  /** Whether the policy has been asked about the step and has answered. */
  hasAnswer (stepName: string): boolean {
    return (this.#steps.get(stepName)?.asked.size ?? 0) > 0
  }

  /** Whether an answer is awaited, or a failed call must not be repeated yet. */
  isWaiting (stepName: string, nowMs: number): boolean {
    const advice = this.#steps.get(stepName)
    return advice !== undefined && (advice.isAsking || nowMs < advice.notBeforeMs)
  }

  /** Whether it is time to check if other targets are worth a question. */
  shouldCheckExtension (stepName: string, nowMs: number): boolean {
    return nowMs >= (this.#steps.get(stepName)?.nextExtensionCheckMs ?? 0)
  }

  pauseExtensionChecks (stepName: string, notBeforeMs: number): void {
    this.#ensure(stepName).nextExtensionCheckMs = notBeforeMs
  }

  isPermitted (stepName: string, targetId: string): boolean {
    return this.#steps.get(stepName)?.tickets.has(targetId) === true
  }

  /** Those of the targets that the policy has not been asked about. */
  listUnasked (stepName: string, targetIds: readonly string[]): string[] {
    const asked = this.#steps.get(stepName)?.asked
    return asked === undefined ? [...targetIds] : targetIds.filter((id) => !asked.has(id))
  }

  listPermitted (stepName: string): string[] {
    return [...this.#steps.get(stepName)?.tickets.keys() ?? []]
  }

  /** Targets that the step may be started on without another question. */
  listTicketed (stepName: string, nowMs: number): string[] {
    return this.listPermitted(stepName).filter((id) => this.findTicket(stepName, id, nowMs) !== undefined)
  }

  /** The ticket for a target; undefined when it is missing or ends too soon. */
  findTicket (stepName: string, targetId: string, nowMs: number): string | undefined {
    const entry = this.#steps.get(stepName)?.tickets.get(targetId)
    return entry === undefined || entry.endsAtMs - nowMs < MINIMUM_TICKET_VALIDITY_MS ? undefined : entry.ticket
  }

  markAsking (stepName: string): void {
    this.#ensure(stepName).isAsking = true
  }

  recordAnswer (stepName: string, askedIds: readonly string[], permitted: readonly AdvisedTarget[], endsAtMs: number): void {
    const advice = this.#ensure(stepName)
    advice.isAsking = false
    for (const id of askedIds) advice.asked.add(id)
    for (const { targetId, ticket } of permitted) advice.tickets.set(targetId, { ticket, endsAtMs })
  }

  recordFailure (stepName: string, notBeforeMs: number): void {
    const advice = this.#ensure(stepName)
    advice.isAsking = false
    advice.notBeforeMs = notBeforeMs
  }

  /** Drops the ticket of a target that refused it; the policy is asked again before the next order. */
  expireTicket (stepName: string, targetId: string): void {
    const advice = this.#steps.get(stepName)
    const entry = advice?.tickets.get(targetId)
    if (advice !== undefined && entry !== undefined) advice.tickets.set(targetId, { ...entry, endsAtMs: 0 })
  }

  forget (stepName: string): void {
    this.#steps.delete(stepName)
  }

  #ensure (stepName: string): StepAdvice {
    let advice = this.#steps.get(stepName)
    if (advice === undefined) {
      advice = { tickets: new Map(), asked: new Set(), isAsking: false, notBeforeMs: 0, nextExtensionCheckMs: 0 }
      this.#steps.set(stepName, advice)
    }
    return advice
  }
}
