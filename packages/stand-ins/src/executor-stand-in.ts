import { z } from 'zod'
import type { StandInResponse, StandInRequest } from './stand-in-server.js'
import { NOT_FOUND, REFUSED_AS_LEAVING, REFUSED_AS_MALFORMED, TargetStandIn, type TargetStandInOptions } from './target-stand-in.js'
import { computePayloadDigest, createWorkResult, drawServiceMs, parseInstructions, type WorkResult } from './work-profile.js'

export interface ExecutorRun {
  readonly target: string
  readonly requestId: string
  readonly attempt: number
  readonly kind: string
  readonly payloadDigest: string
  readonly startedAtMs: number
  /** Absent while the run is in progress. */
  endedAtMs?: number
  outcome?: 'succeeded' | 'failed'
  /** Number of runs in progress at its start, including this run. */
  readonly concurrency: number
  readonly isOvercommitted: boolean
}

interface RunStatus {
  readonly attempt: number
  state: 'running' | 'completed'
  result?: WorkResult
  error?: { message: string }
}

const runHeaders = z.object({
  'ce-id': z.string().min(1),
  'ce-type': z.string().min(1),
  'ce-source': z.string().min(1),
  'ce-specversion': z.literal('1.0'),
  'x-attempt': z.coerce.number().int().min(0)
})

const FAILURE = { message: 'the run failed' } as const

/**
 * An executor, which runs request/response work in slots. It enforces no limits: it runs every order and records each
 * overcommit, so that a test can detect a scheduler that sends too much.
 */
export class ExecutorStandIn extends TargetStandIn {
  readonly runs: ExecutorRun[] = []
  progressPolls = 0
  readonly #slots: number
  readonly #statusesByRequestId = new Map<string, RunStatus[]>()

  constructor (options: TargetStandInOptions, slots: number) {
    super('executor', options)
    this.#slots = slots
  }

  protected override isWorkRequest (request: StandInRequest): boolean {
    return request.path === '/run'
  }

  protected override handleRequest (request: StandInRequest): StandInResponse | Promise<StandInResponse> {
    if (request.method === 'POST' && request.path === '/run') return this.#run(request)
    if (request.method !== 'GET') return NOT_FOUND
    if (request.path === '/progress') {
      this.progressPolls++
      const leaving = this.readFaults().leaving === true
      return { status: 200, body: { running: this.simulator.countRunning(), progress: this.simulator.readProgress(), leaving } }
    }
    const [, collection, requestId] = request.path.split('/')
    if (collection !== 'runs' || requestId === undefined) return NOT_FOUND
    return { status: 200, body: this.#findRunStatus(decodeURIComponent(requestId), request.query.get('attempt')) }
  }

  async #run (request: StandInRequest): Promise<StandInResponse> {
    const headers = runHeaders.safeParse(request.headers)
    if (!headers.success || request.body === undefined) return REFUSED_AS_MALFORMED
    if (this.readFaults().leaving === true) return REFUSED_AS_LEAVING
    const { 'ce-id': requestId, 'ce-type': kind, 'x-attempt': attempt } = headers.data
    const payload = request.body
    const instructions = parseInstructions(payload)
    const concurrency = this.simulator.countRunning() + 1
    const run: ExecutorRun = {
      target: this.id,
      requestId,
      attempt,
      kind,
      payloadDigest: computePayloadDigest(payload),
      startedAtMs: this.clock.readWallMs(),
      concurrency,
      isOvercommitted: concurrency > this.#slots
    }
    this.runs.push(run)
    const record: RunStatus = { attempt, state: 'running' }
    this.#statusesByRequestId.set(requestId, [...this.#statusesByRequestId.get(requestId) ?? [], record])
    // Runs in excess of the slots share them, so each of them takes longer.
    const serviceMs = drawServiceMs(kind, instructions, this.options.serviceTimes, this.options.random) *
      Math.max(1, concurrency / this.#slots)
    await new Promise<void>((resolve) => { this.simulator.start(serviceMs, resolve) })
    run.endedAtMs = this.clock.readWallMs()
    record.state = 'completed'
    if (instructions.fail === true || this.readFaults().failAll === true) {
      run.outcome = 'failed'
      record.error = FAILURE
      return { status: 500, body: { error: FAILURE }, headers: { 'x-run-failed': 'true' } }
    }
    run.outcome = 'succeeded'
    record.result = createWorkResult(requestId, attempt, kind, payload)
    return { status: 200, body: record.result }
  }

  #findRunStatus (requestId: string, attempt: string | null): unknown {
    const records = this.#statusesByRequestId.get(requestId) ?? []
    const record = records.findLast((candidate) => attempt === null || candidate.attempt === Number(attempt))
    return record ?? { state: 'absent' }
  }
}
