import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { PEER_LOG_EVENTS } from './peer-log-events.js'
import type { PeerTimings } from './peer-timings.js'

const PAUSE_CHECK_PERIOD_MS = 100

/**
 * Tracks until when this instance has authority to act as an owner: until its lease could expire in the store or, while the
 * store is unreachable, until the first promise of a required member expires, but at most `promiseAuthorityLimitMs` after the
 * last renewal. The later of the two counts.
 */
export class AuthorityTracker {
  readonly #clock: Clock
  readonly #logger: EventLogger
  readonly #timings: PeerTimings
  readonly #listRequiredMemberKeys: () => readonly string[]
  readonly #promiseEndsMs = new Map<string, number>()
  #registration = 0
  #leaseAuthorityEndMs = Number.NEGATIVE_INFINITY
  #lastRenewalSentMs = Number.NEGATIVE_INFINITY
  #revokedAtMs = Number.NEGATIVE_INFINITY
  #lastCheckMs: number
  #isStopped = false
  #timer: Timer | undefined

  /** `listRequiredMemberKeys` returns the keys of the other members of every view that the store may hold for this instance. */
  constructor (clock: Clock, logger: EventLogger, timings: PeerTimings, listRequiredMemberKeys: () => readonly string[]) {
    this.#clock = clock
    this.#logger = logger
    this.#timings = timings
    this.#listRequiredMemberKeys = listRequiredMemberKeys
    this.#lastCheckMs = clock.readMonotonicMs()
  }

  start (): void {
    this.#lastCheckMs = this.#clock.readMonotonicMs()
    this.#timer = this.#clock.startInterval(PAUSE_CHECK_PERIOD_MS, () => this.#revokeAfterPause())
  }

  /** Ends all authority permanently. */
  stop (): void {
    this.#isStopped = true
    this.#timer?.cancel()
  }

  /** Returns the registration for which promises are requested from peers; 0 before the first registration. */
  readRegistration (): number {
    return this.#registration
  }

  /**
   * Makes a registration current, after the owner records have been read under it. Promises for the previous registration no
   * longer count. `leaseSentAtMs` is the monotonic time at which the last grant or renewal of the lease was requested.
   */
  beginRegistration (registration: number, leaseSentAtMs: number): void {
    this.#registration = registration
    this.#promiseEndsMs.clear()
    this.#leaseAuthorityEndMs = Number.NEGATIVE_INFINITY
    this.confirmRenewal(leaseSentAtMs)
  }

  /** Records that the store renewed the lease of the current registration in response to a request sent at `sentAtMs` (monotonic). */
  confirmRenewal (sentAtMs: number): void {
    this.#revokeAfterPause()
    if (sentAtMs < this.#revokedAtMs) return
    this.#lastRenewalSentMs = Math.max(this.#lastRenewalSentMs, sentAtMs)
    this.#leaseAuthorityEndMs = Math.max(this.#leaseAuthorityEndMs, sentAtMs + this.#timings.leaseTtlMs - this.#timings.leaseMarginMs)
  }

  /** Records the promise of `member` for `registration`, requested at `sentAtMs` (monotonic). */
  recordPromise (member: string, registration: number, sentAtMs: number): void {
    this.#revokeAfterPause()
    if (registration !== this.#registration || sentAtMs < this.#revokedAtMs) return
    const untilMs = sentAtMs + this.#timings.promiseTtlMs - this.#timings.promiseMarginMs
    this.#promiseEndsMs.set(member, Math.max(this.#promiseEndsMs.get(member) ?? untilMs, untilMs))
  }

  hasPromise (member: string): boolean {
    return (this.#promiseEndsMs.get(member) ?? Number.NEGATIVE_INFINITY) > this.#clock.readMonotonicMs()
  }

  /** Returns the remaining authority in milliseconds; 0 without authority. */
  readAuthorityMs (): number {
    this.#revokeAfterPause()
    if (this.#isStopped || this.#registration === 0) return 0
    const untilMs = Math.max(this.#leaseAuthorityEndMs, this.#computePromiseAuthorityEndMs())
    return Math.max(0, untilMs - this.#clock.readMonotonicMs())
  }

  #computePromiseAuthorityEndMs (): number {
    let untilMs = this.#lastRenewalSentMs + this.#timings.promiseAuthorityLimitMs
    for (const key of this.#listRequiredMemberKeys()) untilMs = Math.min(untilMs, this.#promiseEndsMs.get(key) ?? Number.NEGATIVE_INFINITY)
    return untilMs
  }

  // Also called before every read and update: after a pause of the process, replies may be handled before the timer fires.
  #revokeAfterPause (): void {
    const nowMs = this.#clock.readMonotonicMs()
    const gapMs = nowMs - this.#lastCheckMs
    this.#lastCheckMs = nowMs
    if (gapMs <= this.#timings.pauseThresholdMs) return
    this.#revokedAtMs = nowMs
    this.#leaseAuthorityEndMs = Number.NEGATIVE_INFINITY
    this.#promiseEndsMs.clear()
    this.#logger.logWarning(PEER_LOG_EVENTS.authorityRevoked, { gapMs })
  }
}
