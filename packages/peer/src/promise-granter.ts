import type { Clock } from '@hibiscusledge/runtime/clock.js'

const GRANT_RETENTION_MS = 3_600_000

interface OwnerGrants {
  lastPromiseMs: number
  lastDeniedRegistration: number
  lastDenialMs: number
}

/**
 * What this instance has promised to other owners. A denial holds for one registration of an incarnation and is not
 * withdrawn: an owner gets promises again only after it has registered in the store anew and has read the owner records.
 */
export class PromiseGranter {
  readonly #clock: Clock
  readonly #grants = new Map<string, OwnerGrants>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Gives a promise to a registration of an owner. Returns false when that registration is denied. */
  grant (owner: string, registration: number): boolean {
    const given = this.#ensureEntry(owner)
    if (registration <= given.lastDeniedRegistration) return false
    given.lastPromiseMs = this.#clock.readMonotonicMs()
    return true
  }

  /** Refuses promises to this and every earlier registration of the owner from now on. */
  deny (owner: string, registration: number): void {
    const given = this.#ensureEntry(owner)
    given.lastDeniedRegistration = Math.max(given.lastDeniedRegistration, registration)
    given.lastDenialMs = this.#clock.readMonotonicMs()
  }

  isDenied (owner: string, registration: number): boolean {
    return registration <= (this.#grants.get(owner)?.lastDeniedRegistration ?? Number.NEGATIVE_INFINITY)
  }

  /** Monotonic time of the last promise to any registration of the owner. */
  readLastPromiseMs (owner: string): number {
    return this.#grants.get(owner)?.lastPromiseMs ?? Number.NEGATIVE_INFINITY
  }

  #ensureEntry (owner: string): OwnerGrants {
    let given = this.#grants.get(owner)
    if (given === undefined) {
      this.#prune()
      const neverMs = Number.NEGATIVE_INFINITY
      given = { lastPromiseMs: neverMs, lastDeniedRegistration: neverMs, lastDenialMs: neverMs }
      this.#grants.set(owner, given)
    }
    return given
  }

  // Promise authority ends 600 s after the last renewal, so a denial can be forgotten long after that.
  #prune (): void {
    const limitMs = this.#clock.readMonotonicMs() - GRANT_RETENTION_MS
    for (const [owner, given] of this.#grants) {
      if (Math.max(given.lastDenialMs, given.lastPromiseMs) < limitMs) this.#grants.delete(owner)
    }
  }
}
