import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import type { KeyValueStore } from '@hibiscusledge/store/key-value-store.js'
import type { MemberRecord, ViewMember, ViewRecord } from './store-records.js'
import { formatAliveKey, formatMemberKey, formatViewKey } from './store-records.js'
import { hasSameMembers, planView, type ViewCandidate } from './view-planner.js'
import { PEER_LOG_EVENTS } from './peer-log-events.js'

/** Registration under which a view is written; the write fails if the alive key has changed since. */
export interface RegistrationState {
  readonly registration: number
  /** Modification revision of the alive key. */
  readonly aliveRevision: number
}

/** Manages the view record of this instance: the members that must give it promises and may take over its units. */
export class ViewManager {
  readonly #store: KeyValueStore
  readonly #clock: Clock
  readonly #random: RandomSource
  readonly #logger: EventLogger
  readonly #self: ViewMember
  readonly #key: string
  readonly #unresponsiveSinceMs = new Map<string, number>()
  #confirmed: readonly ViewMember[]
  #confirmedRevision = 0
  /** Views whose write was sent and may have taken effect, or may still do so. */
  #unconfirmed: (readonly ViewMember[])[] = []
  #requiredKeys: readonly string[] = []
  #isWriting = false
  #isRevisionKnown = true

  constructor (store: KeyValueStore, clock: Clock, random: RandomSource, logger: EventLogger, self: ViewMember) {
    this.#store = store
    this.#clock = clock
    this.#random = random
    this.#logger = logger
    this.#self = self
    this.#key = formatViewKey(self.instance, self.incarnation)
    this.#confirmed = [self]
  }

  /** Returns the keys of the members of every view that the store may hold now, without this instance. */
  listRequiredMemberKeys (): readonly string[] {
    return this.#requiredKeys
  }

  /** Returns the members of the last view that is known to be stored, this instance included. */
  listConfirmedMembers (): readonly ViewMember[] {
    return this.#confirmed
  }

  /** Builds the view of a new registration: the union of all views that may be stored, so that no required promise is dropped. */
  prepareRecord (registration: number): ViewRecord {
    const members = new Map([this.#confirmed, ...this.#unconfirmed].flat().map((member) => [formatMemberKey(member), member]))
    return this.#formatRecord(registration, [...members.values()])
  }

  /** Records that `record` is stored. Writes sent earlier can no longer take effect, since they compare an older revision. */
  confirmRecord (record: ViewRecord, revision: number): void {
    this.#confirmed = record.members
    this.#confirmedRevision = revision
    this.#unconfirmed = []
    this.#isRevisionKnown = true
    this.#updateRequired()
  }

  /** Plans the view and writes it if it differs from the stored one. */
  async updateView (state: RegistrationState, members: readonly MemberRecord[], hasPromise: (member: string) => boolean): Promise<void> {
    const candidates = this.#collectCandidates(members, hasPromise)
    const planned = planView(this.#self, this.#confirmed, candidates)
    if (this.#isWriting || (this.#unconfirmed.length === 0 && hasSameMembers(planned, this.#confirmed))) return
    this.#isWriting = true
    await this.#writeView(state, planned)
    this.#isWriting = false
  }

  async #writeView (state: RegistrationState, members: readonly ViewMember[]): Promise<void> {
    const revision = await this.#resolveRevision()
    if (revision === undefined) return
    const record = this.#formatRecord(state.registration, members)
    this.#unconfirmed.push(members)
    this.#updateRequired()
    const outcome = await this.#store.commitTransaction({
      comparisons: [
        { key: formatAliveKey(this.#self.instance), modRevision: state.aliveRevision },
        { key: this.#key, modRevision: revision }
      ],
      mutations: [{ type: 'put', key: this.#key, value: JSON.stringify(record) }]
    }, 'critical')
    if (outcome.ok && outcome.val.isCommitted) {
      this.confirmRecord(record, outcome.val.revision)
      this.#logger.logInfo(PEER_LOG_EVENTS.viewWritten, { members: members.length, revision: outcome.val.revision })
      return
    }
    this.#isRevisionKnown = false
    if (outcome.ok || !outcome.val.isEffectUnknown) this.#removeUnconfirmed(members)
  }

  // After a failed write the next one compares the stored revision. Unconfirmed views stay required until a write is confirmed.
  async #resolveRevision (): Promise<number | undefined> {
    if (this.#isRevisionKnown) return this.#confirmedRevision
    const read = await this.#store.readKey(this.#key, 'critical')
    return read.ok ? read.val?.modRevision ?? 0 : undefined
  }

  #removeUnconfirmed (members: readonly ViewMember[]): void {
    this.#unconfirmed = this.#unconfirmed.filter((view) => view !== members)
    this.#updateRequired()
  }

  #updateRequired (): void {
    const keys = new Set([this.#confirmed, ...this.#unconfirmed].flat().map(formatMemberKey))
    keys.delete(formatMemberKey(this.#self))
    this.#requiredKeys = [...keys]
  }

  #collectCandidates (records: readonly MemberRecord[], hasPromise: (member: string) => boolean): ViewCandidate[] {
    const nowMs = this.#clock.readMonotonicMs()
    const selfKey = formatMemberKey(this.#self)
    const aliveMembers = new Map(records.map(({ instance, incarnation, address }) => {
      const member = { instance, incarnation, address }
      return [formatMemberKey(member), member]
    }))
    const members = new Map([...this.#confirmed.map((member) => [formatMemberKey(member), member] as const), ...aliveMembers])
    members.delete(selfKey)
    for (const key of this.#unresponsiveSinceMs.keys()) if (!members.has(key)) this.#unresponsiveSinceMs.delete(key)
    return [...members].map(([key, member]) => {
      const isAlive = aliveMembers.has(key)
      const hasPromised = hasPromise(key)
      if ((isAlive && hasPromised) || !this.#unresponsiveSinceMs.has(key)) this.#unresponsiveSinceMs.set(key, nowMs)
      return { member, isAlive, hasPromised, unresponsiveMs: nowMs - (this.#unresponsiveSinceMs.get(key) ?? nowMs) }
    })
  }

  #formatRecord (registration: number, members: readonly ViewMember[]): ViewRecord {
    const { incarnation, address } = this.#self
    return { incarnation, registration, address, members: [...members], nonce: this.#random.drawHex(8) }
  }
}
