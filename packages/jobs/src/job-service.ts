import { PEER_ERROR_CODES, type PeerNetwork } from '@hibiscusledge/peer/peer-network.js'
import type { PortProbe } from '@hibiscusledge/peer/port-probe.js'
import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { toInstanceId, type InstanceId } from '@hibiscusledge/runtime/identifiers.js'
import type { MetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import type { Result } from '@hibiscusledge/runtime/result.js'
import type { KeyValueStore } from '@hibiscusledge/store/key-value-store.js'
import { z } from 'zod'
import type { ReadAccounts } from './accounts/account-table.js'
import { ConflictResolver } from './accounts/conflict-resolver.js'
import { AccountViewer, UNRESTRICTED_VIEWER, type JobViewer } from './accounts/job-viewer.js'
import type { EarlyRefusal } from './admission/admission-decision.js'
import { JobAdmission } from './admission/job-admission.js'
import { LoadReceiver } from './admission/load-receiver.js'
import type { AdviceGateway, AdvisedTarget } from './advice-gateway.js'
import { HeldWorkLimiter } from './held-work/held-work-limiter.js'
import { ACCEPTANCE_OUTCOMES, JobAcceptor, type AcceptanceDeadlines, type AcceptanceOutcome } from './job-acceptor.js'
import { CANCEL_OUTCOMES, JobCanceller, type CancelOutcome } from './job-canceller.js'
import { OWNER_KEY } from './job-keys.js'
import { JOB_EVENTS } from './job-events.js'
import { JOB_METRICS } from './job-metrics.js'
import { JOB_MESSAGES } from './job-messages.js'
import { JobOwner } from './job-owner.js'
import { JobReader } from './job-reader.js'
import type { Job, JobState } from './job.js'
import { OwnerElection, type OwnerRecord, type Ownership } from './owner-election.js'
import type { OwnerTimings } from './owner-timings.js'
import { serveOrder } from './order-message.js'
import { OwnerFailureDetector } from './owner-failure-detector.js'
import { DelegatingTargetGateway } from './delegating-target-gateway.js'
import type { TargetDirectory, TargetGateway } from './target-gateway.js'

const idSchema = z.object({ id: z.string() })
const readSchema = z.object({ id: z.string(), withAccount: z.boolean().optional() })
const accountCancelSchema = z.object({ id: z.string(), account: z.string().optional() })
const queueSchema = z.object({ queue: z.string() })
const announcementSchema = z.object({ record: z.string(), revision: z.number() })
const relayedJobSchema = z.object({ id: z.string(), record: z.string(), waitMs: z.number().nonnegative() })
const acceptanceSchema = z.object({ outcome: z.enum(ACCEPTANCE_OUTCOMES) })
const cancelSchema = z.object({ outcome: z.enum(CANCEL_OUTCOMES) })
const reservationSchema = z.object({ id: z.string(), bytes: z.number().positive() })
const grantSchema = z.object({ isGranted: z.boolean() })
const storeSchema = z.object({ isQuick: z.boolean() })
const leaseSchema = z.object({ lease: z.string() })
const adviceRequestSchema = z.object({ stepName: z.string(), targetIds: z.array(z.string()), timeoutMs: z.number().positive() })

/** Time given to another instance to store a relayed job or cancellation. */
const RELAY_TIMEOUT_MS = 700
const STORE_CHECK_TIMEOUT_MS = 300
const RESERVATION_TIMEOUT_MS = 400
/** Above this answer time the store is slow for the other instance as well, so that a change of owner would not help. */
const QUICK_ANSWER_MS = 100
const RECOVERY_FAILED_REASON = 'the jobs could not be taken over'
const RETIREMENT_REASON = 'the store refuses this instance and answers another'

/** A peer network whose addresses can be set. */
export interface AddressableNetwork extends PeerNetwork {
  setAddresses (addresses: ReadonlyMap<InstanceId, string>): void
}

export interface JobServiceOptions {
  readonly instance: string
  /** Address at which other instances reach the peer listener of this one. */
  readonly peerAddress: string
  readonly incarnation: string
  /** CPU cores of this instance; may be fractional. */
  readonly cores: number
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: EventLogger
  readonly metrics: MetricSink
  readonly store: KeyValueStore
  readonly network: AddressableNetwork
  readonly probe: PortProbe
  readonly targetGateway: TargetGateway
  readonly directory: TargetDirectory
  /** Undefined when no queue has a policy. */
  readonly advice: AdviceGateway | undefined
  readonly timings: OwnerTimings
  readonly retentionMs: number
  readonly readAccounts: ReadAccounts
  /** Limit on what an owner holds for all accepted jobs, in estimated bytes of their records. */
  readonly maximumHeldBytes: number
}

/** Job service of one instance: accepts, reads and cancels jobs, and may be the owner of the targets. */
export class JobService {
  readonly #options: JobServiceOptions
  readonly #acceptor: JobAcceptor
  readonly #admission: JobAdmission
  readonly #loads = new LoadReceiver()
  readonly #heldWork: HeldWorkLimiter
  readonly #canceller: JobCanceller
  readonly #reader: JobReader
  readonly #election: OwnerElection
  readonly #ownerFailureDetector: OwnerFailureDetector
  #owner: JobOwner | undefined
  #ownerRecord: OwnerRecord | undefined

  constructor (options: JobServiceOptions) {
    this.#options = options
    const { clock, logger, metrics, store, network, random, readAccounts } = options
    const onStored = (record: string, revision: number): void => this.#notifyOwner(JOB_MESSAGES.announceJob, { record, revision })
    this.#reader = new JobReader(network, store, () => this.#ownerRecord?.instance)
    const conflicts = new ConflictResolver(this.#reader, options.readAccounts)
    this.#acceptor = new JobAcceptor({
      clock,
      logger,
      store,
      onStored,
      relay: async (id, record, deadlines) => await this.#relayJob(id, record, deadlines),
      resolveConflict: (record) => conflicts.resolve(record)
    })
    this.#heldWork = new HeldWorkLimiter({
      clock,
      maximumBytes: options.maximumHeldBytes,
      reserveAtOwner: async (id, bytes) => await this.#reserveHeldWork(id, bytes)
    })
    this.#admission = new JobAdmission({
      clock,
      random,
      logger,
      metrics,
      store,
      loads: this.#loads,
      heldWork: this.#heldWork,
      readAccounts,
      isWriting: (id) => this.#acceptor.isWriting(id)
    })
    this.#canceller = new JobCanceller(clock, store, (id) => this.#notifyOwner(JOB_MESSAGES.announceCancel, { id }),
      async (id, viewer) => await this.#relayCancel(id, viewer))
    this.#election = new OwnerElection({
      instance: options.instance,
      address: options.peerAddress,
      incarnation: options.incarnation,
      cores: options.cores,
      clock,
      random,
      logger,
      store,
      handler: {
        onAcquired: (ownership) => this.#startOwner(ownership),
        onLost: () => this.#stopOwner(),
        onOwnerChanged: (record) => this.#onOwnerChanged(record),
        onFirstRenewalFailure: () => this.#owner?.extendLeases(),
        onRepeatedRenewalFailure: (lease) => { void this.#transferOwnership(lease) }
      }
    })
    this.#ownerFailureDetector = new OwnerFailureDetector({
      clock, logger, network, store, probe: options.probe, readOtherOwner: () => this.#election.isOwner() ? undefined : this.#ownerRecord
    })
    this.#registerHandlers()
  }

  start (): void {
    this.#election.start()
    this.#ownerFailureDetector.start()
  }

  /** Stops sending orders, then releases the ownership so that another instance may take over. */
  async drain (): Promise<void> {
    this.#stopOwner()
    await this.#election.release()
  }

  stop (): void {
    this.#stopOwner()
    this.#election.stop()
    this.#ownerFailureDetector.stop()
  }

  isOwner (): boolean {
    return this.#election.isOwner()
  }

  /** Accepts a job that a caller submits, unless it is refused in overload before anything is stored. */
  async submitJob (job: Job, deadlines: AcceptanceDeadlines): Promise<AcceptanceOutcome | EarlyRefusal> {
    return await this.#admission.findRefusal(job) ?? await this.acceptJob(job, deadlines)
  }

  /** Stores a job. */
  async acceptJob (job: Job, deadlines: AcceptanceDeadlines): Promise<AcceptanceOutcome> {
    const { clock, metrics } = this.#options
    const startedAtMs = clock.readMonotonicMs()
    const outcome = await this.#acceptor.acceptJob(job, deadlines)
    metrics.recordTiming(JOB_METRICS.acceptance, clock.readMonotonicMs() - startedAtMs, { outcome })
    return outcome
  }

  async cancelJob (id: string, deadlineMs: number, viewer: JobViewer = UNRESTRICTED_VIEWER): Promise<CancelOutcome> {
    return await this.#canceller.cancelJob(id, deadlineMs, viewer)
  }

  async readState (id: string, viewer: JobViewer = UNRESTRICTED_VIEWER): Promise<Result<JobState | undefined, string>> {
    return await this.#reader.readState(id, viewer)
  }

  async countWaiting (queue: string): Promise<number | undefined> {
    return await this.#reader.countWaiting(queue)
  }

  #notifyOwner (kind: string, body: unknown): void {
    const owner = this.#ownerRecord?.instance
    if (owner !== undefined) this.#options.network.sendNotification(toInstanceId(owner), kind, body)
  }

  #startOwner (ownership: Ownership): void {
    const { clock, logger, metrics, store, targetGateway, directory, network, timings, retentionMs } = this.#options
    this.#stopOwner()
    metrics.incrementCounter(JOB_METRICS.ownershipChanges, 1, { change: 'acquired' })
    this.#owner = new JobOwner({
      clock,
      random: this.#options.random,
      logger,
      metrics,
      store,
      gateway: new DelegatingTargetGateway(network, targetGateway),
      directory,
      network,
      timings,
      ownership,
      election: this.#election,
      retentionMs,
      readAccounts: this.#options.readAccounts,
      maximumHeldBytes: this.#options.maximumHeldBytes
    })
    this.#owner.start().catch((error: unknown) => {
      // An owner that can't start must not keep its lease.
      logger.logError(JOB_EVENTS.recoveryFailed, { message: String(error) })
      this.#election.retire(RECOVERY_FAILED_REASON)
    })
  }

  #stopOwner (): void {
    if (this.#owner !== undefined) this.#options.metrics.incrementCounter(JOB_METRICS.ownershipChanges, 1, { change: 'ended' })
    this.#owner?.stop()
    this.#owner = undefined
  }

  #onOwnerChanged (record: OwnerRecord | undefined): void {
    // The links to the last owner stay until another one is known.
    if (record === undefined || record.instance === this.#ownerRecord?.instance) {
      if (record === undefined) this.#loads.expire()
      if (record !== undefined) this.#ownerRecord = record
      return
    }
    this.#ownerRecord = record
    this.#loads.expire()
    const isSelf = record.instance === this.#options.instance
    this.#options.network.setAddresses(new Map(isSelf ? [] : [[toInstanceId(record.instance), record.address]]))
  }

  #registerHandlers (): void {
    const { network } = this.#options
    network.registerHandler(JOB_MESSAGES.announceJob, async (body) => {
      const { record, revision } = announcementSchema.parse(body)
      this.#owner?.adoptAnnounced(record, revision)
    })
    network.registerHandler(JOB_MESSAGES.announceCancel, async (body) => { this.#owner?.cancelJob(idSchema.parse(body).id) })
    network.registerHandler(JOB_MESSAGES.reportLoad, async (body, from) => {
      if (from.instance === this.#ownerRecord?.instance) this.#loads.receive(body, this.#options.clock.readMonotonicMs())
    })
    network.registerHandler(JOB_MESSAGES.reportHeldWork, async (body, from) => {
      if (from.instance === this.#ownerRecord?.instance) this.#heldWork.receive(body)
    })
    network.registerHandler(JOB_MESSAGES.reserveHeldWork, async (body) => {
      const { id, bytes } = reservationSchema.parse(body)
      return { isGranted: this.#owner?.isReady() === true && this.#owner.reserveHeldWork(id, bytes) }
    })
    network.registerHandler(JOB_MESSAGES.readJob, async (body) => {
      const { id, withAccount } = readSchema.parse(body)
      if (this.#owner?.isReady() !== true) return {}
      return { state: this.#owner.findState(id), ...(withAccount === true ? { account: this.#owner.findAccount(id) ?? null } : {}) }
    })
    network.registerHandler(JOB_MESSAGES.countWaiting, async (body) => {
      const { queue } = queueSchema.parse(body)
      return this.#owner?.isReady() === true ? { waiting: this.#owner.countWaiting(queue) } : {}
    })
    network.registerHandler(JOB_MESSAGES.relayJob, async (body) => ({ outcome: await this.#storeRelayed(relayedJobSchema.parse(body)) }))
    network.registerHandler(JOB_MESSAGES.relayCancel, async (body) => {
      return { outcome: await this.#canceller.tryCancel(idSchema.parse(body).id, UNRESTRICTED_VIEWER) ?? CANCEL_OUTCOMES.unknown }
    })
    network.registerHandler(JOB_MESSAGES.relayAccountCancel, async (body) => {
      const { id, account } = accountCancelSchema.parse(body)
      return { outcome: await this.#canceller.tryCancel(id, new AccountViewer(account)) ?? CANCEL_OUTCOMES.unknown }
    })
    network.registerHandler(JOB_MESSAGES.checkStore, async () => ({ isQuick: await this.#isStoreQuick() }))
    network.registerHandler(JOB_MESSAGES.endOwnership, async (body) => {
      await this.#options.store.revokeLease(leaseSchema.parse(body).lease)
    })
    network.registerHandler(JOB_MESSAGES.sendOrder, async (body) => await serveOrder(this.#options.targetGateway, body))
    network.registerHandler(JOB_MESSAGES.askAdvice, async (body) => await this.#fetchAdvice(adviceRequestSchema.parse(body)))
  }

  /** Lists the connected instances, the owner first. */
  #listPeers (): InstanceId[] {
    const owner = this.#ownerRecord?.instance
    const peers = this.#options.network.listConnected().map((peer) => peer.instance)
    return [...peers.filter((peer) => peer === owner), ...peers.filter((peer) => peer !== owner)]
  }

  async #relayJob (id: string, record: string, deadlines: AcceptanceDeadlines): Promise<AcceptanceOutcome | undefined> {
    const [peer] = this.#listPeers()
    if (peer === undefined) return undefined
    const waitMs = Math.max(0, Math.min(RELAY_TIMEOUT_MS, deadlines.refuseAtMs - this.#options.clock.readMonotonicMs()))
    const result = await this.#options.network.sendRequest(peer, JOB_MESSAGES.relayJob, { id, record, waitMs }, waitMs + RELAY_TIMEOUT_MS)
    const parsed = result.ok ? acceptanceSchema.safeParse(result.val) : undefined
    if (parsed?.success === true) return parsed.data.outcome
    return result.err && result.val.code === 'notConnected' ? undefined : ACCEPTANCE_OUTCOMES.unknown
  }

  async #storeRelayed ({ id, record, waitMs }: z.infer<typeof relayedJobSchema>): Promise<AcceptanceOutcome> {
    const deadlineMs = this.#options.clock.readMonotonicMs() + waitMs
    return await this.#acceptor.storeRelayed(id, record, { refuseAtMs: deadlineMs, giveUpAtMs: deadlineMs })
  }

  async #relayCancel (id: string, viewer: JobViewer): Promise<CancelOutcome | undefined> {
    const [peer] = this.#listPeers()
    if (peer === undefined) return undefined
    const kind = viewer.isRestricted ? JOB_MESSAGES.relayAccountCancel : JOB_MESSAGES.relayCancel
    const body = viewer.account === undefined ? { id } : { id, account: viewer.account }
    const result = await this.#options.network.sendRequest(peer, kind, body, RELAY_TIMEOUT_MS)
    const parsed = result.ok ? cancelSchema.safeParse(result.val) : undefined
    return parsed?.success === true ? parsed.data.outcome : undefined
  }

  /** Asks the owner to reserve room for a large job. An owner of a build that doesn't know this message sets no limit. */
  async #reserveHeldWork (id: string, bytes: number): Promise<boolean> {
    const owner = this.#ownerRecord?.instance
    if (owner === undefined) return false
    const kind = JOB_MESSAGES.reserveHeldWork
    const result = await this.#options.network.sendRequest(toInstanceId(owner), kind, { id, bytes }, RESERVATION_TIMEOUT_MS)
    if (result.err) return result.val.code === PEER_ERROR_CODES.unknownKind
    const parsed = grantSchema.safeParse(result.val)
    return parsed.success && parsed.data.isGranted
  }

  async #isStoreQuick (): Promise<boolean> {
    const { clock, store } = this.#options
    const startedAtMs = clock.readMonotonicMs()
    const result = await store.readKey(OWNER_KEY, 'critical')
    return result.ok && clock.readMonotonicMs() - startedAtMs <= QUICK_ANSWER_MS
  }

  /**
   * Lets another instance take over at once if the store answers it quickly and not this one. While the store is slow for all
   * instances, a change of owner would only add more calls.
   */
  async #transferOwnership (lease: string): Promise<void> {
    const { network } = this.#options
    const answers = await Promise.all(this.#listPeers().map(async (peer) => {
      const result = await network.sendRequest(peer, JOB_MESSAGES.checkStore, {}, STORE_CHECK_TIMEOUT_MS)
      const parsed = result.ok ? storeSchema.safeParse(result.val) : undefined
      return parsed?.success === true && parsed.data.isQuick ? peer : undefined
    }))
    const peer = answers.find((answer) => answer !== undefined)
    if (peer === undefined || this.#election.isStoreHealthy() || !this.#election.isOwner()) return
    this.#election.retire(RETIREMENT_REASON)
    network.sendNotification(peer, JOB_MESSAGES.endOwnership, { lease })
  }

  async #fetchAdvice (request: z.infer<typeof adviceRequestSchema>): Promise<readonly AdvisedTarget[] | undefined> {
    const result = await this.#options.advice?.fetchAdvice(request.stepName, request.targetIds, request.timeoutMs)
    return result?.ok === true ? result.val : undefined
  }
}
