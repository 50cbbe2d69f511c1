import { KeySpace } from '@hibiscusledge/store/key-space.js'
import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import { z } from 'zod'
import { CallCounter, type CallCounters, type CallKind } from './call-counter.js'
import { EtcdGatewayService } from './etcd-gateway-service.js'
import { createErrorResponse } from './etcd-gateway-protocol.js'
import { InstanceListStandIn, instanceListChange } from './instance-list-stand-in.js'
import { StandInServer, type StandInResponse, type StandInRequest } from './stand-in-server.js'

/** Body of `POST /admin/faults`: each given field replaces its current setting. */
export const storeFaults = z.strictObject({
  /** New connections are refused and open ones closed. */
  down: z.boolean().optional(),
  /** Calls are accepted, have no effect and never get a response. Open watches send nothing more. */
  hang: z.boolean().optional(),
  /** The connections that are open now become unresponsive for good. New ones work. */
  silence: z.literal(true).optional(),
  slowMs: z.number().int().min(0).optional(),
  /** The next N writes take effect, but their connection is closed without a response. */
  loseNextReplies: z.number().int().min(0).optional(),
  loseReplyFraction: z.number().min(0).max(1).optional(),
  seed: z.number().int().optional(),
  rates: z.strictObject({ writesPerSecond: z.number().min(0), readsPerSecond: z.number().min(0) }).nullable().optional(),
  /** The store alternates between up and down until this is set to null. */
  flap: z.strictObject({ upMs: z.number().int().min(1), downMs: z.number().int().min(1) }).nullable().optional(),
  /** The instance list responds with status 503. */
  listDown: z.boolean().optional()
})
export type StoreFaults = z.output<typeof storeFaults>

export interface StoreStandInOptions {
  readonly clock: Clock
  readonly host?: string
  readonly progressMs?: number
}

const LEASE_CHECK_PERIOD_MS = 20
const DEFAULT_PROGRESS_MS = 1_000

/** The platform's store and instance list, with configurable faults. Faults of connections do not affect the admin port. */
export class StoreStandIn {
  readonly keySpace = new KeySpace()
  readonly instanceList: InstanceListStandIn
  readonly #clock: Clock
  readonly #counter: CallCounter
  readonly #service: EtcdGatewayService
  readonly #storeServer: StandInServer
  readonly #adminServer: StandInServer
  #faults: StoreFaults = {}
  #random = new SeededRandomSource(1)
  #callsThisSecond = { second: 0, reads: 0, writes: 0 }
  #leaseTimer: Timer | undefined
  #flapTimer: Timer | undefined

  constructor ({ clock, host, progressMs }: StoreStandInOptions) {
    this.#clock = clock
    this.instanceList = new InstanceListStandIn(clock)
    this.#counter = new CallCounter(clock)
    this.#service = new EtcdGatewayService(this.keySpace, clock, this.#counter, progressMs ?? DEFAULT_PROGRESS_MS)
    this.#storeServer = new StandInServer((request) => this.#handleCall(request), host)
    this.#adminServer = new StandInServer((request) => this.#handleAdmin(request), host)
  }

  /** Returns the address of the store, and that of the instance list and the admin interface. */
  async start (port = 0, adminPort = 0): Promise<{ store: string, admin: string }> {
    const store = await this.#storeServer.start(port)
    const admin = await this.#adminServer.start(adminPort)
    // Leases also expire during an outage: of the behaviours that a platform may have, this is the worse one for the scheduler.
    this.#leaseTimer = this.#clock.startInterval(LEASE_CHECK_PERIOD_MS, () => this.keySpace.expireLeases(this.#clock.readMonotonicMs()))
    return { store, admin }
  }

  async stop (): Promise<void> {
    this.#leaseTimer?.cancel()
    this.#flapTimer?.cancel()
    await Promise.all([this.#storeServer.stop(), this.#adminServer.stop()])
  }

  readCounters (): CallCounters {
    return this.#counter.readCounters()
  }

  async setFaults (change: StoreFaults): Promise<StoreFaults> {
    const { silence, ...lastingFaults } = change
    this.#faults = { ...this.#faults, ...lastingFaults }
    if (change.seed !== undefined) this.#random = new SeededRandomSource(change.seed)
    if (silence === true || change.hang === true) this.#storeServer.pauseConnections()
    if (change.down !== undefined) await this.#storeServer.setRefusing(change.down)
    if (change.flap !== undefined) {
      this.#flapTimer?.cancel()
      if (change.flap === null) await this.#storeServer.setRefusing(false)
      else this.#scheduleFlap(change.flap, true)
    }
    return this.#faults
  }

  #scheduleFlap (flap: { upMs: number, downMs: number }, isUp: boolean): void {
    this.#flapTimer = this.#clock.startTimer(isUp ? flap.upMs : flap.downMs, () => {
      this.#scheduleFlap(flap, !isUp)
      this.#storeServer.setRefusing(isUp).catch(() => {})
    })
  }

  async #handleCall (request: StandInRequest): Promise<StandInResponse> {
    const kind = this.#service.findCallKind(request.path)
    if (kind !== undefined) this.#counter.recordCall(kind)
    if (this.#faults.hang === true) return 'hang'
    if (this.#isOverRate(kind ?? 'reads')) {
      this.#counter.recordRefusal()
      return createErrorResponse('tooManyRequests')
    }
    const slowMs = this.#faults.slowMs ?? 0
    if (slowMs > 0) await new Promise<void>((resolve) => { this.#clock.startTimer(slowMs, resolve) })
    this.keySpace.expireLeases(this.#clock.readMonotonicMs())
    const response = this.#service.handleCall(request)
    return kind === 'writes' && this.#shouldLoseResponse() ? 'drop' : response
  }

  #shouldLoseResponse (): boolean {
    const remaining = this.#faults.loseNextReplies ?? 0
    if (remaining > 0) this.#faults = { ...this.#faults, loseNextReplies: remaining - 1 }
    return remaining > 0 || this.#random.drawFraction() < (this.#faults.loseReplyFraction ?? 0)
  }

  #isOverRate (kind: CallKind): boolean {
    const second = Math.floor(this.#clock.readMonotonicMs() / 1000)
    if (this.#callsThisSecond.second !== second) this.#callsThisSecond = { second, reads: 0, writes: 0 }
    this.#callsThisSecond[kind]++
    const rates = this.#faults.rates ?? undefined
    if (rates === undefined) return false
    return this.#callsThisSecond[kind] > (kind === 'reads' ? rates.readsPerSecond : rates.writesPerSecond)
  }

  async #handleAdmin (request: StandInRequest): Promise<StandInResponse> {
    switch (`${request.method} ${request.path}`) {
      case 'GET /instances':
        if (this.#faults.listDown === true) return { status: 503, body: {} }
        return { status: 200, body: this.instanceList.listEntries() }
      case 'GET /admin/counters': return { status: 200, body: this.readCounters() }
      case 'POST /admin/counters/reset':
        this.#counter.reset()
        return { status: 200, body: {} }
      case 'GET /admin/faults': return { status: 200, body: this.#faults }
      case 'POST /admin/faults': {
        const change = storeFaults.safeParse(request.body)
        if (!change.success) return { status: 400, body: { findings: change.error.issues } }
        return { status: 200, body: await this.setFaults(change.data) }
      }
      case 'POST /admin/instances': {
        const change = instanceListChange.safeParse(request.body)
        if (!change.success) return { status: 400, body: { findings: change.error.issues } }
        this.instanceList.applyChange(change.data)
        return { status: 200, body: {} }
      }
      default: return { status: 404, body: {} }
    }
  }
}
