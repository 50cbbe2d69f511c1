import type { Clock } from '@hibiscusledge/runtime/clock.js'
import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import { Agent } from 'undici'
import type { z } from 'zod'
import {
  encodeBase64, encodePrefix, encodeTransaction, leaseGrantResponse, leaseKeepAliveResponse, leaseRevokeResponse, rangeResponse,
  toStoredValue, transactionResponse
} from './etcd-codec.js'
import { toStoreErrorFromResponse, toStoreErrorFromFailure, type CallKind } from './etcd-error.js'
import { EtcdWatch } from './etcd-watch.js'
import { fetchText, type HttpResponse } from './http-request.js'
import type {
  CallPriority, KeyValueStore, PrefixListing, StoredValue, Transaction, TransactionOutcome, Watch, WatchHandler
} from './key-value-store.js'
import type { StoreError } from './store-error.js'

export interface EtcdGatewayStoreOptions {
  /** Origins such as `http://10.0.0.5:2379`. A call that fails at one is tried at the next. */
  readonly endpoints: readonly string[]
  readonly clock: Clock
  /** Time limit of one call, over all endpoints that it tries. */
  readonly requestTimeoutMs?: number
  readonly watchIdleTimeoutMs?: number
  readonly maxConnections?: number
}

interface GatewayCall<Schema extends z.ZodType> {
  readonly path: string
  readonly body: unknown
  readonly kind: CallKind
  readonly schema: Schema
}

const DEFAULT_REQUEST_TIMEOUT_MS = 1_000
const DEFAULT_WATCH_IDLE_TIMEOUT_MS = 15_000
const DEFAULT_MAX_CONNECTIONS = 16
// The largest response lists all segments of one partition of the request ledger: values of at most 1 MB, 4/3 of that in base64.
const MAX_RESPONSE_BYTES = 256 * 1024 * 1024

const MESSAGES = {
  noEndpoint: 'no endpoint is configured',
  closed: 'the store client is closed',
  malformed: (path: string, detail: string) => `unexpected answer of ${path}: ${detail}`,
  leaseNotFound: (leaseId: string) => `lease ${leaseId} does not exist`,
  incomplete: 'the listing is incomplete'
} as const

/**
 * Client of the etcd v3 JSON gateway. Never repeats a write that may have taken effect. Ignores the priorities of calls, which
 * `RateLimitedStore` applies before it passes the calls on.
 */
export class EtcdGatewayStore implements KeyValueStore {
  readonly #endpoints: readonly string[]
  readonly #clock: Clock
  readonly #requestTimeoutMs: number
  readonly #watchIdleTimeoutMs: number
  readonly #callAgent: Agent
  // Watches use their own agent, so that they never occupy a connection that calls need.
  readonly #watchAgent: Agent
  readonly #watches = new Set<Watch>()
  #preferredIndex = 0

  constructor (options: EtcdGatewayStoreOptions) {
    this.#endpoints = options.endpoints
    this.#clock = options.clock
    this.#requestTimeoutMs = options.requestTimeoutMs ?? DEFAULT_REQUEST_TIMEOUT_MS
    this.#watchIdleTimeoutMs = options.watchIdleTimeoutMs ?? DEFAULT_WATCH_IDLE_TIMEOUT_MS
    this.#callAgent = new Agent({
      connections: options.maxConnections ?? DEFAULT_MAX_CONNECTIONS,
      maxResponseSize: MAX_RESPONSE_BYTES,
      connect: { timeout: this.#requestTimeoutMs }
    })
    this.#watchAgent = new Agent({ connect: { timeout: this.#requestTimeoutMs } })
  }

  async readKey (key: string, _priority: CallPriority): Promise<Result<StoredValue | undefined, StoreError>> {
    const response = await this.#sendCall({ path: '/v3/kv/range', body: { key: encodeBase64(key) }, kind: 'read', schema: rangeResponse })
    return response.map(({ kvs }) => kvs[0] === undefined ? undefined : toStoredValue(kvs[0]))
  }

  async listPrefix (prefix: string, _priority: CallPriority): Promise<Result<PrefixListing, StoreError>> {
    const response = await this.#sendCall({ path: '/v3/kv/range', body: encodePrefix(prefix), kind: 'read', schema: rangeResponse })
    if (response.err) return response
    if (response.val.more) return Err({ code: 'protocol', message: MESSAGES.incomplete, isEffectUnknown: false })
    return Ok({ revision: response.val.header.revision, values: response.val.kvs.map(toStoredValue) })
  }

  async commitTransaction (transaction: Transaction, _priority: CallPriority): Promise<Result<TransactionOutcome, StoreError>> {
    const body = encodeTransaction(transaction)
    const response = await this.#sendCall({ path: '/v3/kv/txn', body, kind: 'write', schema: transactionResponse })
    return response.map(({ header, succeeded }) => ({ isCommitted: succeeded, revision: header.revision }))
  }

  async grantLease (ttlSeconds: number): Promise<Result<string, StoreError>> {
    // With ID 0, etcd chooses the lease id.
    const body = { TTL: String(ttlSeconds), ID: '0' }
    const response = await this.#sendCall({ path: '/v3/lease/grant', body, kind: 'write', schema: leaseGrantResponse })
    return response.map(({ ID }) => ID)
  }

  async renewLease (leaseId: string): Promise<Result<number, StoreError>> {
    const response = await this.#sendCall({ path: '/v3/lease/keepalive', body: { ID: leaseId }, kind: 'write', schema: leaseKeepAliveResponse })
    if (response.err) return response
    const ttlSeconds = response.val.result.TTL
    // For an unknown lease the gateway responds to a keep-alive with status 200 and without a TTL.
    if (ttlSeconds <= 0) return Err({ code: 'leaseNotFound', message: MESSAGES.leaseNotFound(leaseId), isEffectUnknown: false })
    return Ok(ttlSeconds)
  }

  async revokeLease (leaseId: string): Promise<Result<void, StoreError>> {
    const response = await this.#sendCall({ path: '/v3/lease/revoke', body: { ID: leaseId }, kind: 'write', schema: leaseRevokeResponse })
    return response.map(() => undefined)
  }

  /** Watches for changes with a revision of `fromRevision` or later; 0 starts at the next change. */
  watchPrefix (prefix: string, fromRevision: number, handler: WatchHandler): Watch {
    const endpointIndex = this.#preferredIndex
    const watch = new EtcdWatch({
      dispatcher: this.#watchAgent,
      clock: this.#clock,
      origin: this.#endpoints[endpointIndex] ?? '',
      prefix,
      fromRevision,
      handler,
      idleTimeoutMs: this.#watchIdleTimeoutMs,
      onFailed: () => {
        this.#watches.delete(watch)
        this.#skipEndpoint(endpointIndex)
      }
    })
    this.#watches.add(watch)
    watch.start()
    return { close: () => { this.#watches.delete(watch); watch.close() } }
  }

  /** Closes all watches and connections. Calls in flight fail. */
  async close (): Promise<void> {
    for (const watch of this.#watches) watch.close()
    this.#watches.clear()
    await Promise.all([this.#callAgent.destroy(), this.#watchAgent.destroy()])
  }

  async #sendCall<Schema extends z.ZodType> (call: GatewayCall<Schema>): Promise<Result<z.output<Schema>, StoreError>> {
    const deadlineMs = this.#clock.readMonotonicMs() + this.#requestTimeoutMs
    let error: StoreError = { code: 'unavailable', message: MESSAGES.noEndpoint, isEffectUnknown: false }
    for (let attempt = 0; attempt < this.#endpoints.length; attempt++) {
      const timeoutMs = deadlineMs - this.#clock.readMonotonicMs()
      if (timeoutMs <= 0) break
      const endpointIndex = this.#preferredIndex
      const origin = this.#endpoints[endpointIndex] ?? ''
      const response = await fetchText(this.#callAgent, this.#clock, { origin, path: call.path, method: 'POST', body: call.body, timeoutMs })
      if (response.ok && response.val.status === 200) return parseResponse(call, response.val)
      error = response.ok ? toStoreErrorFromResponse(response.val, call.kind) : toStoreErrorFromFailure(response.val, call.kind)
      // Another endpoint is tried only when this one is unreachable or timed out, and only when a write can't take effect twice.
      if (error.code !== 'unavailable' && error.code !== 'timeout') break
      this.#skipEndpoint(endpointIndex)
      if (error.isEffectUnknown) break
    }
    return Err(error)
  }

  #skipEndpoint (failedIndex: number): void {
    // Concurrent calls that fail at the same endpoint must not skip the endpoints after it.
    if (this.#preferredIndex === failedIndex) this.#preferredIndex = (failedIndex + 1) % Math.max(1, this.#endpoints.length)
  }
}

function parseResponse<Schema extends z.ZodType> (call: GatewayCall<Schema>, response: HttpResponse): Result<z.output<Schema>, StoreError> {
  try {
    // Streamed calls end each message with a newline. The first message is the response.
    const parsed = call.schema.safeParse(JSON.parse(response.text.trimEnd().split('\n', 1)[0] ?? ''))
    if (parsed.success) return Ok(parsed.data)
    const issue = parsed.error.issues[0]
    return Err(createMalformedError(call, `${issue?.path.join('.') ?? ''} ${issue?.message ?? ''}`))
  } catch (error) {
    return Err(createMalformedError(call, error instanceof Error ? error.message : String(error)))
  }
}

function createMalformedError (call: GatewayCall<z.ZodType>, detail: string): StoreError {
  return { code: 'protocol', message: MESSAGES.malformed(call.path, detail), isEffectUnknown: call.kind === 'write' }
}
