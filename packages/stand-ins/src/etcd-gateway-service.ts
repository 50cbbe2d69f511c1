import { decodeBase64 } from '@hibiscusledge/store/etcd-codec.js'
import type { KeySpace, KeySpaceChange } from '@hibiscusledge/store/key-space.js'
import type { WatchEvent } from '@hibiscusledge/store/key-value-store.js'
import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { z } from 'zod'
import type { CallCounter, CallKind } from './call-counter.js'
import {
  createErrorResponse, createHeader, decodePrefix, decodeTransaction, encodeStoredValue, encodeWatchEvent, leaseGrantRequest, leaseRequest,
  rangeRequest, transactionRequest, watchRequest
} from './etcd-gateway-protocol.js'
import type { JsonResponse, StandInResponse, StandInRequest } from './stand-in-server.js'

// Admits a value of 1 MB, which base64 enlarges by a third, with the rest of the request. etcd's default is 1.5 MB before base64.
const MAX_REQUEST_BYTES = 2 * 1024 * 1024

const CALL_KINDS: Readonly<Record<string, CallKind>> = {
  '/v3/kv/range': 'reads',
  '/v3/kv/txn': 'writes',
  '/v3/lease/grant': 'writes',
  '/v3/lease/keepalive': 'writes',
  '/v3/lease/revoke': 'writes'
}

/** Serves, from a key space, the calls of the etcd v3 JSON gateway that the scheduler uses. */
export class EtcdGatewayService {
  readonly #keySpace: KeySpace
  readonly #clock: Clock
  readonly #counter: CallCounter
  readonly #progressMs: number

  constructor (keySpace: KeySpace, clock: Clock, counter: CallCounter, progressMs: number) {
    this.#keySpace = keySpace
    this.#clock = clock
    this.#counter = counter
    this.#progressMs = progressMs
  }

  /** Returns the kind of a call for counters and rate limits, or undefined for a watch and for an unknown path. */
  findCallKind (path: string): CallKind | undefined {
    return CALL_KINDS[path]
  }

  handleCall (request: StandInRequest): StandInResponse {
    if (request.method !== 'POST') return createErrorResponse('notFound')
    if (request.bodyBytes > MAX_REQUEST_BYTES) return createErrorResponse('tooLarge')
    switch (request.path) {
      case '/v3/kv/range': return this.#parseBody(rangeRequest, request, (body) => this.#readRange(body))
      case '/v3/kv/txn': return this.#parseBody(transactionRequest, request, (body) => this.#commit(body))
      case '/v3/lease/grant': return this.#parseBody(leaseGrantRequest, request, ({ TTL }) => {
        const leaseId = this.#keySpace.grantLease(Number(TTL) * 1000, this.#clock.readMonotonicMs())
        return this.#createResponse({ ID: leaseId, TTL: String(TTL) })
      })
      case '/v3/lease/keepalive': return this.#parseBody(leaseRequest, request, ({ ID }) => {
        const remainingMs = this.#keySpace.renewLease(String(ID), this.#clock.readMonotonicMs())
        const ttl = remainingMs > 0 ? { TTL: String(Math.ceil(remainingMs / 1000)) } : {}
        return { status: 200, body: { result: { header: this.#createHeader(), ID: String(ID), ...ttl } } }
      })
      case '/v3/lease/revoke': return this.#parseBody(leaseRequest, request, ({ ID }) => {
        return this.#keySpace.revokeLease(String(ID)) ? this.#createResponse({}) : createErrorResponse('leaseNotFound')
      })
      case '/v3/watch': return this.#parseBody(watchRequest, request, (body) => this.#openWatch(body, request))
      default: return createErrorResponse('notFound')
    }
  }

  #parseBody<Schema extends z.ZodType> (
    schema: Schema, request: StandInRequest, handle: (body: z.output<Schema>) => StandInResponse
  ): StandInResponse {
    const parsed = schema.safeParse(request.body)
    return parsed.success ? handle(parsed.data) : createErrorResponse('invalid')
  }

  #readRange ({ key, range_end: rangeEnd }: z.output<typeof rangeRequest>): JsonResponse {
    const prefix = rangeEnd === '' ? undefined : decodePrefix(key, rangeEnd)
    if (rangeEnd !== '' && prefix === undefined) return createErrorResponse('unimplemented')
    const single = this.#keySpace.readKey(decodeBase64(key))
    const values = prefix !== undefined ? this.#keySpace.listPrefix(prefix) : single === undefined ? [] : [single]
    return this.#createResponse(values.length === 0 ? {} : { kvs: values.map(encodeStoredValue), count: String(values.length) })
  }

  #commit (body: z.output<typeof transactionRequest>): JsonResponse {
    const transaction = decodeTransaction(body)
    if (transaction === undefined) return createErrorResponse('unimplemented')
    const outcome = this.#keySpace.commit(transaction.conditions, transaction.mutations)
    if (typeof outcome === 'string') return createErrorResponse(outcome)
    return this.#createResponse(outcome.isCommitted ? { succeeded: true } : {})
  }

  #openWatch ({ create_request: request }: z.output<typeof watchRequest>, incoming: StandInRequest): StandInResponse {
    const key = decodeBase64(request.key)
    const prefix = request.range_end === '' ? undefined : decodePrefix(request.key, request.range_end)
    if (request.range_end !== '' && prefix === undefined) return createErrorResponse('unimplemented')
    const isWatched = (event: WatchEvent): boolean => {
      const changed = event.type === 'put' ? event.value.key : event.key
      return prefix === undefined ? changed === key : changed.startsWith(prefix)
    }
    return {
      open: (writeLine) => {
        const write = (fields: object): void => writeLine({ result: { header: this.#createHeader(), ...fields } })
        const deliver = (change: KeySpaceChange): void => {
          const events = change.events.filter(isWatched)
          if (events.length > 0) writeLine({ result: { header: createHeader(change.revision), events: events.map(encodeWatchEvent) } })
        }
        write({ created: true })
        const startRevision = Number(request.start_revision)
        const history = startRevision > 0 ? this.#keySpace.listHistory(startRevision) : []
        if (history === undefined) {
          return write({ canceled: true, compact_revision: String(this.#keySpace.readCompactedRevision() + 1) })
        }
        for (const change of history) deliver(change)
        const unsubscribe = this.#keySpace.subscribe(deliver)
        const timer = request.progress_notify ? this.#clock.startInterval(this.#progressMs, () => write({})) : undefined
        this.#counter.recordWatch()
        incoming.onClosed(() => {
          unsubscribe()
          timer?.cancel()
          this.#counter.waitingWatches--
        })
      }
    }
  }

  #createHeader (): Record<string, string> {
    return createHeader(this.#keySpace.readRevision())
  }

  #createResponse (fields: object): JsonResponse {
    return { status: 200, body: { header: this.#createHeader(), ...fields } }
  }
}
