import type { Clock } from '@hibiscusledge/runtime/clock.js'

const GRANT_RETENTION_MS = 3_600_000

interface OwnerGrants {
  lastPromiseMs: number
  lastDeniedRegistration: number
  lastDenialMs: number
}

/**
 * Grants and denies promises to the owners among the other instances. A promise commits this instance not to take over from the
 * owner for a limited time. A denial applies to one registration of an incarnation and all earlier ones and is never withdrawn:
 * an owner gets promises again only after it has registered in the store again and has read the owner records.
 */
export class PromiseGranter {
  readonly #clock: Clock
  readonly #grants = new Map<string, OwnerGrants>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Gives a promise to a registration of an owner, named by its member key. Returns false when that registration is denied. */
  grant (owner: string, registration: number): boolean {
    const grants = this.#ensureEntry(owner)
    if (registration <= grants.lastDeniedRegistration) return false
    grants.lastPromiseMs = this.#clock.readMonotonicMs()
    return true
  }

  /** Refuses promises to this and every earlier registration of the owner from now on. */
  deny (owner: string, registration: number): void {
    const grants = this.#ensureEntry(owner)
    grants.lastDeniedRegistration = Math.max(grants.lastDeniedRegistration, registration)
    grants.lastDenialMs = this.#clock.readMonotonicMs()
  }

  isDenied (owner: string, registration: number): boolean {
    return registration <= (this.#grants.get(owner)?.lastDeniedRegistration ?? Number.NEGATIVE_INFINITY)
  }

  /** Returns the monotonic time of the last promise to any registration of the owner; negative infinity if there was none. */
  readLastPromiseMs (owner: string): number {
    return this.#grants.get(owner)?.lastPromiseMs ?? Number.NEGATIVE_INFINITY
  }

  #ensureEntry (owner: string): OwnerGrants {
    let grants = this.#grants.get(owner)
    if (grants === undefined) {
      this.#prune()
      const neverMs = Number.NEGATIVE_INFINITY
      grants = { lastPromiseMs: neverMs, lastDeniedRegistration: neverMs, lastDenialMs: neverMs }
      this.#grants.set(owner, grants)
    }
    return grants
  }

  // Promise authority ends 600 s after the last renewal of the lease, so grants and denials older than an hour have no effect.
  #prune (): void {
    const limitMs = this.#clock.readMonotonicMs() - GRANT_RETENTION_MS
    for (const [owner, grants] of this.#grants) {
      if (Math.max(grants.lastDenialMs, grants.lastPromiseMs) < limitMs) this.#grants.delete(owner)
    }
  }
}
