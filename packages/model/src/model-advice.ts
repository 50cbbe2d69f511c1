import type { AdvisedTarget } from '@hibiscusledge/jobs/advice-gateway.js'
import type { JobKind } from './load-pattern.js'
import type { VirtualClock } from './virtual-clock.js'

const HASH_MULTIPLIER = 16_777_619
const HASH_OFFSET = 2_166_136_261
const HASH_RANGE = 2 ** 32

/** The policy service: it handles the calls of one instance one at a time. */
export class ModelAdvice {
  readonly #clock: VirtualClock
  readonly #readKind: (stepName: string) => JobKind | undefined
  readonly #busyUntilMs = new Map<string, number>()

  constructor (clock: VirtualClock, readKind: (stepName: string) => JobKind | undefined) {
    this.#clock = clock
    this.#readKind = readKind
  }

  async fetchAdvice (instance: string, stepName: string, targetIds: readonly string[]): Promise<readonly AdvisedTarget[]> {
    const advice = this.#readKind(stepName)?.advice
    if (advice === undefined) return []
    const nowMs = this.#clock.readMonotonicMs()
    const endMs = Math.max(nowMs, this.#busyUntilMs.get(instance) ?? 0) + advice.decisionMs + advice.perTargetMs * targetIds.length
    this.#busyUntilMs.set(instance, endMs)
    await this.#clock.wait(endMs - nowMs)
    return targetIds.filter((id) => computeFraction(`${stepName}/${id}`) < advice.permittedShare)
      .map((targetId) => ({ targetId, ticket: formatTicket(endMs + advice.validityMs) }))
  }
}

function formatTicket (expiresAtMs: number): string {
  return `until ${expiresAtMs}`
}

/** Returns the virtual time at which a ticket expires; undefined when it is none of the policy service. */
export function parseTicket (ticket: string): { readonly expiresAtMs: number } | undefined {
  const expiresAtMs = Number(/^until (.+)$/.exec(ticket)?.[1])
  return Number.isFinite(expiresAtMs) ? { expiresAtMs } : undefined
}

/** Maps a text to a fraction between 0 and 1 that depends only on the text (FNV-1a with a final mix). */
function computeFraction (text: string): number {
  let hash = HASH_OFFSET
  for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), HASH_MULTIPLIER)
  hash = Math.imul(hash ^ (hash >>> 15), HASH_MULTIPLIER)
  return ((hash ^ (hash >>> 13)) >>> 0) / HASH_RANGE
}
