import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import { z } from 'zod'
import type { InstanceListEntry } from './instance-list-stand-in.js'
import { StandInServer, type JsonResponse, type StandInResponse, type StandInRequest } from './stand-in-server.js'
import { WorkSimulator } from './work-simulator.js'
import type { ServiceTime } from './work-profile.js'

/** Faults of one executor or worker: each given field replaces its current setting. */
export const targetFaults = z.strictObject({
  /** `work`: work makes no progress, but requests get responses. `all`: requests get no response either. */
  freeze: z.enum(['none', 'work', 'all']).optional(),
  /** Every run or task that ends while this is set fails. */
  failAll: z.boolean().optional(),
  leaving: z.boolean().optional(),
  /** The connections that are open now become unresponsive for good. New ones work. */
  silence: z.literal(true).optional(),
  /** The next N requests that start or change work take effect, but their connection is closed without a response. */
  loseNextAnswers: z.number().int().min(0).optional(),
  loseAnswerFraction: z.number().min(0).max(1).optional(),
  seed: z.number().int().optional(),
  delayAnswersMs: z.number().int().min(0).optional(),
  /** New connections are refused and open ones closed, while work continues. */
  down: z.boolean().optional()
})
export type TargetFaults = z.output<typeof targetFaults>

export interface TargetStandInOptions {
  readonly id: string
  readonly clock: Clock
  readonly random: RandomSource
  readonly serviceTimes: ReadonlyMap<string, ServiceTime>
  readonly host: string
  readonly maxConnections: number
  /** Labels in the instance list in addition to id, kind and state. */
  readonly labels: Readonly<Record<string, string>>
}

export const REFUSED_AS_LEAVING: JsonResponse = {
  status: 503, body: { error: { message: 'the target is leaving' } }, headers: { 'x-not-run': 'true' }
}
export const REFUSED_AS_MALFORMED: JsonResponse = {
  status: 400, body: { error: { message: 'malformed request' } }, headers: { 'x-not-run': 'true' }
}
export const NOT_FOUND: JsonResponse = { status: 404, body: { error: { message: 'not found' } } }

/** Base of the executor and worker stand-ins: connections, faults, progress and the entry in the instance list. */
export abstract class TargetStandIn {
  readonly id: string
  protected readonly clock: Clock
  protected readonly options: TargetStandInOptions
  protected readonly simulator: WorkSimulator
  readonly #kind: 'executor' | 'worker'
  readonly #server: StandInServer
  #lossRandom: RandomSource
  #faults: TargetFaults = {}
  #address = ''

  constructor (kind: 'executor' | 'worker', options: TargetStandInOptions) {
    this.id = options.id
    this.clock = options.clock
    this.options = options
    this.simulator = new WorkSimulator(options.clock)
    this.#kind = kind
    this.#lossRandom = options.random
    this.#server = new StandInServer((request) => this.#handle(request), options.host, options.maxConnections)
  }

  async start (port = 0): Promise<string> {
    this.#address = await this.#server.start(port)
    return this.#address
  }

  async stop (): Promise<void> {
    this.simulator.stop()
    await this.#server.stop()
  }

  readRefusedConnections (): number {
    return this.#server.refusedConnections
  }

  createListEntry (): InstanceListEntry {
    return { targets: [this.#address], labels: { id: this.id, kind: this.#kind, state: 'live', ...this.options.labels } }
  }

  readFaults (): TargetFaults {
    return this.#faults
  }

  async setFaults (change: TargetFaults): Promise<void> {
    const { silence, ...lastingFaults } = change
    this.#faults = { ...this.#faults, ...lastingFaults }
    if (change.seed !== undefined) this.#lossRandom = new SeededRandomSource(change.seed)
    if (change.freeze !== undefined) this.simulator.setFrozen(change.freeze !== 'none')
    if (silence === true || change.freeze === 'all') this.#server.pauseConnections()
    if (change.down !== undefined) await this.#server.setRefusing(change.down)
  }

  protected abstract handleRequest (request: StandInRequest): StandInResponse | Promise<StandInResponse>

  /** Whether the request starts or changes work, so that the faults for lost responses apply to it. */
  protected abstract isWorkRequest (request: StandInRequest): boolean

  async #handle (request: StandInRequest): Promise<StandInResponse> {
    if (this.#faults.freeze === 'all') return 'hang'
    const response = await this.handleRequest(request)
    const delayMs = this.#faults.delayAnswersMs ?? 0
    if (delayMs > 0) await new Promise<void>((resolve) => { this.clock.startTimer(delayMs, resolve) })
    return this.isWorkRequest(request) && this.#shouldLoseResponse() ? 'drop' : response
  }

  #shouldLoseResponse (): boolean {
    const remaining = this.#faults.loseNextAnswers ?? 0
    if (remaining > 0) this.#faults = { ...this.#faults, loseNextAnswers: remaining - 1 }
    const fraction = this.#faults.loseAnswerFraction ?? 0
    return remaining > 0 || (fraction > 0 && this.#lossRandom.drawFraction() < fraction)
  }
}
