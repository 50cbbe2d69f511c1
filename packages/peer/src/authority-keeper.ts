import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { PEER_LOG_EVENTS } from './peer-log-events.js'
import type { PeerTimings } from './peer-timings.js'

const PAUSE_CHECK_PERIOD_MS = 100

/** Computes when this instance's authority to act as an owner ends. */
export class AuthorityKeeper {
  readonly #clock: Clock
  readonly #logger: EventLogger
  readonly #timings: PeerTimings
  readonly #listRequired: () => readonly string[]
  readonly #promises = new Map<string, number>()
  #registration = 0
  #storeUntilMs = Number.NEGATIVE_INFINITY
  #lastRenewalMs = Number.NEGATIVE_INFINITY
  #revokedAtMs = Number.NEGATIVE_INFINITY
  #lastTickMs: number
  #isEnded = false
  #timer: Timer | undefined

  /** `listRequired` names the other members of every view that the store may hold for this instance. */
  constructor (clock: Clock, logger: EventLogger, timings: PeerTimings, listRequired: () => readonly string[]) {
    this.#clock = clock
    this.#logger = logger
    this.#timings = timings
    this.#listRequired = listRequired
    this.#lastTickMs = clock.readMonotonicMs()
  }

  start (): void {
    this.#lastTickMs = this.#clock.readMonotonicMs()
    this.#timer = this.#clock.startInterval(PAUSE_CHECK_PERIOD_MS, () => this.#detectPause())
  }

  /** Ends all authority for good. */
  stop (): void {
    this.#isEnded = true
    this.#timer?.cancel()
  }

  /** The registration that peers are asked to promise to; 0 before the first. */
  readRegistration (): number {
    return this.#registration
  }

  /** Makes a registration current after the owner records have been read under it. Promises to the one before no longer count. */
  beginRegistration (registration: number, grantedAtMs: number): void {
    this.#registration = registration
    this.#promises.clear()
    this.#storeUntilMs = Number.NEGATIVE_INFINITY
    this.confirmRenewal(grantedAtMs)
  }

  /** Records that the store renewed the lease of the current registration by a call sent at `sentAtMs`. */
  confirmRenewal (sentAtMs: number): void {
    this.#detectPause()
    if (sentAtMs < this.#revokedAtMs) return
    this.#lastRenewalMs = Math.max(this.#lastRenewalMs, sentAtMs)
    this.#storeUntilMs = Math.max(this.#storeUntilMs, sentAtMs + this.#timings.leaseTtlMs - this.#timings.storeMarginMs)
  }

  /** Records a promise of the member `member` that was requested at `sentAtMs`. */
  recordPromise (member: string, registration: number, sentAtMs: number): void {
    this.#detectPause()
    if (registration !== this.#registration || sentAtMs < this.#revokedAtMs) return
    const untilMs = sentAtMs + this.#timings.promiseMs - this.#timings.promiseMarginMs
    this.#promises.set(member, Math.max(this.#promises.get(member) ?? untilMs, untilMs))
  }

  hasPromise (member: string): boolean {
    return (this.#promises.get(member) ?? Number.NEGATIVE_INFINITY) > this.#clock.readMonotonicMs()
  }

  /** Milliseconds of authority left; 0 without authority. */
  readAuthorityMs (): number {
    this.#detectPause()
    if (this.#isEnded || this.#registration === 0) return 0
    const untilMs = Math.max(this.#storeUntilMs, this.#readPromiseUntilMs())
    return Math.max(0, untilMs - this.#clock.readMonotonicMs())
  }

  #readPromiseUntilMs (): number {
    let untilMs = this.#lastRenewalMs + this.#timings.outageLimitMs
    for (const member of this.#listRequired()) untilMs = Math.min(untilMs, this.#promises.get(member) ?? Number.NEGATIVE_INFINITY)
    return untilMs
  }

  // Also runs before every read: after a pause, replies can be handled before the timer.
  #detectPause (): void {
    const nowMs = this.#clock.readMonotonicMs()
    const gapMs = nowMs - this.#lastTickMs
    this.#lastTickMs = nowMs
    if (gapMs <= this.#timings.pauseLimitMs) return
    this.#revokedAtMs = nowMs
    this.#storeUntilMs = Number.NEGATIVE_INFINITY
    this.#promises.clear()
    this.#logger.logWarning(PEER_LOG_EVENTS.authorityRevoked, { gapMs })
  }
}
