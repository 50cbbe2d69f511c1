import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import { z } from 'zod'
import type { InstanceListEntry } from './instance-list-stand-in.js'
import { StandInServer, type JsonResponse, type StandInResponse, type StandInRequest } from './stand-in-server.js'
import { WorkSimulator } from './work-simulator.js'
import type { ServiceTime } from './work-profile.js'

/** Faults of one executor or worker: each field that is given replaces the present setting. */
export const targetFaults = z.strictObject({
  /** `work`: work stands still, questions are answered. `all`: requests are accepted and never answered as well. */
  freeze: z.enum(['none', 'work', 'all']).optional(),
  /** Every run or task that ends from now on fails. */
  failAll: z.boolean().optional(),
  leaving: z.boolean().optional(),
  /** Connections open now go silent for good; new ones work. */
  silence: z.literal(true).optional(),
  /** The next N requests for work take effect, then their connection is closed without an answer. */
  loseNextAnswers: z.number().int().min(0).optional(),
  loseAnswerFraction: z.number().min(0).max(1).optional(),
  seed: z.number().int().optional(),
  delayAnswersMs: z.number().int().min(0).optional(),
  /** Connections are refused, open ones closed; work goes on. */
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
  /** Labels of the instance list besides id, kind and state. */
  readonly labels: Readonly<Record<string, string>>
}

export const REFUSED_AS_LEAVING: JsonResponse = {
  status: 503, body: { error: { message: 'the target is leaving' } }, headers: { 'x-not-run': 'true' }
}
export const REFUSED_AS_MALFORMED: JsonResponse = {
  status: 400, body: { error: { message: 'malformed request' } }, headers: { 'x-not-run': 'true' }
}
export const NOT_FOUND: JsonResponse = { status: 404, body: { error: { message: 'not found' } } }

/** What executor and worker have in common: connections, faults, progress and the entry of the instance list. */
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
    const { silence, ...lasting } = change
    this.#faults = { ...this.#faults, ...lasting }
    if (change.seed !== undefined) this.#lossRandom = new SeededRandomSource(change.seed)
    if (change.freeze !== undefined) this.simulator.setFrozen(change.freeze !== 'none')
    if (silence === true || change.freeze === 'all') this.#server.pauseConnections()
    if (change.down !== undefined) await this.#server.setRefusing(change.down)
  }

  protected abstract handleRequest (request: StandInRequest): StandInResponse | Promise<StandInResponse>

  /** Whether losing the answer to this request is of interest: it starts or changes work. */
  protected abstract isWorkRequest (request: StandInRequest): boolean

  async #handle (request: StandInRequest): Promise<StandInResponse> {
    if (this.#faults.freeze === 'all') return 'hang'
    const answer = await this.handleRequest(request)
    const delayMs = this.#faults.delayAnswersMs ?? 0
    if (delayMs > 0) await new Promise<void>((resolve) => { this.clock.startTimer(delayMs, resolve) })
    return this.isWorkRequest(request) && this.#shouldLoseResponse() ? 'drop' : answer
  }

  #shouldLoseResponse (): boolean {
    const next = this.#faults.loseNextAnswers ?? 0
    if (next > 0) this.#faults = { ...this.#faults, loseNextAnswers: next - 1 }
    const fraction = this.#faults.loseAnswerFraction ?? 0
    return next > 0 || (fraction > 0 && this.#lossRandom.drawFraction() < fraction)
  }
}
