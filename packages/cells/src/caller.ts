import { Agent, request } from 'undici'

/** One request as its caller saw it. */
export interface CallerRecord {
  readonly kind: string
  readonly customer: string
  readonly key: string | undefined
  readonly payload: unknown
  readonly sentAtMs: number
  /** Ids of the instances that the caller sent the request to, in order. */
  readonly instances: string[]
  requestId: string | undefined
  answeredAtMs: number | undefined
  outcome: 'completed' | 'notRun' | 'unknown' | undefined
  reason: string | undefined
  result: unknown
  /** Connections that broke, or whose response had no outcome, before the request was answered. */
  brokenConnections: Array<{ readonly instance: string, readonly atMs: number }>
}

export interface CallerInstance {
  readonly id: string
  readonly origin: string
}

interface OutcomeResponse {
  readonly requestId?: string
  readonly outcome?: 'completed' | 'notRun' | 'unknown' | 'pending'
  readonly reason?: string
  readonly result?: unknown
}

const RETRY_DELAY_MS = 250
const MAX_ATTEMPTS = 60

/** Sends requests as a customer's program does: it repeats a request with a key through other instances when a connection breaks. */
export class Caller {
  readonly records: CallerRecord[] = []
  readonly #agent = new Agent({ connections: 128, headersTimeout: 120_000, bodyTimeout: 120_000 })
  readonly #listInstances: () => readonly CallerInstance[]
  #nextIndex = 0

  constructor (listInstances: () => readonly CallerInstance[]) {
    this.#listInstances = listInstances
  }

  /** Sends one request and repeats it until it has an outcome; resolves to its record. */
  async send (kind: string, customer: string, payload: unknown, key: string | undefined, deadlineMs?: number): Promise<CallerRecord> {
    const record: CallerRecord = {
      kind,
      customer,
      key,
      payload,
      sentAtMs: Date.now(),
      instances: [],
      requestId: undefined,
      answeredAtMs: undefined,
      outcome: undefined,
      reason: undefined,
      result: undefined,
      brokenConnections: []
    }
    this.records.push(record)
    for (let attempt = 0; attempt < MAX_ATTEMPTS && record.outcome === undefined; attempt++) {
      if (attempt > 0) await new Promise<void>((resolve) => { setTimeout(resolve, RETRY_DELAY_MS) })
      const instance = this.#chooseInstance()
      if (instance !== undefined) await this.#sendOnce(record, instance, deadlineMs)
      // Without an idempotency key a repetition could run the request twice, so a broken connection leaves the outcome unknown.
      if (record.outcome === undefined && key === undefined && record.brokenConnections.length > 0) this.#recordOutcome(record, { outcome: 'unknown' })
    }
    if (record.outcome === undefined) this.#recordOutcome(record, { outcome: 'unknown', reason: 'the caller gave up' })
    return record
  }

  /** Looks up unknown outcomes until none is left or the timeout has passed. */
  async resolveUnknownOutcomes (timeoutMs: number): Promise<void> {
    const untilMs = Date.now() + timeoutMs
    const isUnresolved = (record: CallerRecord): boolean => record.outcome === 'unknown' && record.requestId !== undefined
    while (Date.now() < untilMs && this.records.some(isUnresolved)) {
      await Promise.all(this.records.filter(isUnresolved).map(async (record) => { await this.#lookup(record) }))
      await new Promise<void>((resolve) => { setTimeout(resolve, RETRY_DELAY_MS) })
    }
  }

  async close (): Promise<void> {
    await this.#agent.destroy()
  }

  async #sendOnce (record: CallerRecord, instance: CallerInstance, deadlineMs: number | undefined): Promise<void> {
    record.instances.push(instance.id)
    const { kind, customer, payload, key } = record
    try {
      const response = await request(`${instance.origin}/v1/requests`, {
        dispatcher: this.#agent,
        method: 'POST',
        headers: { 'content-type': 'application/json', ...(key === undefined ? {} : { 'idempotency-key': key }) },
        body: JSON.stringify({ kind, customer, payload, ...(deadlineMs === undefined ? {} : { deadlineMs }) })
      })
      const body = await response.body.json() as OutcomeResponse
      if (body.outcome === undefined) throw new Error(`status ${response.statusCode}: ${JSON.stringify(body)}`)
      this.#recordOutcome(record, body)
    } catch (error) {
      const isConnectionRefused = error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED'
      if (isConnectionRefused) return
      record.reason = error instanceof Error ? error.message : String(error)
      record.brokenConnections.push({ instance: instance.id, atMs: Date.now() })
    }
  }

  async #lookup (record: CallerRecord): Promise<void> {
    const instance = this.#chooseInstance()
    if (instance === undefined) return
    try {
      const response = await request(`${instance.origin}/v1/requests/${record.requestId ?? ''}`, { dispatcher: this.#agent })
      const body = await response.body.json() as OutcomeResponse
      if (body.outcome === 'completed' || body.outcome === 'notRun') this.#recordOutcome(record, body)
    } catch {
      // The instance may be stopping or killed; the next poll asks another one.
    }
  }

  #recordOutcome (record: CallerRecord, response: OutcomeResponse): void {
    if (response.outcome === 'pending') return
    record.answeredAtMs = Date.now()
    record.outcome = response.outcome
    record.requestId = response.requestId ?? record.requestId
    record.reason = response.reason ?? record.reason
    record.result = response.result
  }

  #chooseInstance (): CallerInstance | undefined {
    const instances = this.#listInstances()
    return instances.length === 0 ? undefined : instances[this.#nextIndex++ % instances.length]
  }
}
