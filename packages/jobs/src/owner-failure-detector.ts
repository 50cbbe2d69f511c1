import type { PeerNetwork } from '@hibiscusledge/peer/peer-network.js'
import type { PortProbe } from '@hibiscusledge/peer/port-probe.js'
import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { KeyValueStore } from '@hibiscusledge/store/key-value-store.js'
import { JOB_EVENTS } from './job-events.js'
import type { OwnerRecord } from './owner-election.js'

const CHECK_PERIOD_MS = 100
const PROBE_TIMEOUT_MS = 300
/** Minimum time between two revocations by this instance, since a broken path to the owner can look like an ended process. */
const REVOCATION_PERIOD_MS = 10_000

export interface OwnerFailureDetectorOptions {
  readonly clock: Clock
  readonly logger: EventLogger
  readonly network: PeerNetwork
  readonly store: KeyValueStore
  readonly probe: PortProbe
  /** Returns the owner; undefined when there is none or when this instance is the owner itself. */
  readonly readOtherOwner: () => OwnerRecord | undefined
}

/**
 * Detects that the owner's process has ended: its link is closed and its port refuses connections. Its lease is then revoked,
 * so that another instance takes over without waiting for the lease to expire. A false detection only costs a change of owner:
 * an owner whose key is gone can't store an intent, and targets refuse its fencing token once the next owner has polled them.
 */
export class OwnerFailureDetector {
  readonly #options: OwnerFailureDetectorOptions
  #timer: Timer | undefined
  /** Incarnation of the owner to which this instance last had a link. */
  #linkedIncarnation: string | undefined
  #isProbing = false
  #pausedUntilMs = 0

  constructor (options: OwnerFailureDetectorOptions) {
    this.#options = options
  }

  start (): void {
    this.#timer = this.#options.clock.startInterval(CHECK_PERIOD_MS, () => { void this.#check() })
  }

  stop (): void {
    this.#timer?.cancel()
  }

  async #check (): Promise<void> {
    const { clock, network, probe, readOtherOwner } = this.#options
    const owner = readOtherOwner()
    if (owner === undefined || this.#isProbing || clock.readMonotonicMs() < this.#pausedUntilMs) return
    if (network.listConnected().some((peer) => peer.instance === owner.instance)) {
      this.#linkedIncarnation = owner.incarnation
      return
    }
    if (this.#linkedIncarnation !== owner.incarnation) return
    this.#isProbing = true
    const isRefused = await probe.isConnectionRefused(owner.address, PROBE_TIMEOUT_MS)
    this.#isProbing = false
    if (isRefused && readOtherOwner()?.incarnation === owner.incarnation) await this.#revokeLease(owner)
  }

  async #revokeLease (owner: OwnerRecord): Promise<void> {
    const { clock, store, logger } = this.#options
    this.#linkedIncarnation = undefined
    this.#pausedUntilMs = clock.readMonotonicMs() + REVOCATION_PERIOD_MS
    const result = await store.revokeLease(owner.lease)
    logger.logWarning(JOB_EVENTS.ownerEnded, { owner: owner.instance, isRevoked: result.ok })
  }
}
