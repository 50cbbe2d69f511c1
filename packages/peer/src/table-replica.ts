import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { MetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import { parseTables } from '@hibiscusledge/tables/parse-tables.js'
import type { CurrentTables } from '@hibiscusledge/tables/current-tables.js'
import type { TableSet } from '@hibiscusledge/tables/table-set.js'
import { z } from 'zod'
import { PEER_LOG_EVENTS } from './peer-log-events.js'
import { PEER_MESSAGE_KINDS } from './peer-message-kinds.js'
import type { PeerIdentity, PeerNetwork } from './peer-network.js'
import type { StoreCache } from './store-cache.js'
import { parseRecord, TABLES_KEY, tablesSchema } from './store-records.js'

/** A stored value can be as large as 1 MB and would not fit into one frame, so it is fetched in chunks. */
export const TABLE_CHUNK_BYTES = 524_288
const FETCH_TIMEOUT_MS = 2_000
const MAX_VALUE_BYTES = 2_097_152

const fetchSchema = z.object({ revision: z.number().int(), offset: z.number().int().nonnegative() })
const chunkSchema = z.object({
  revision: z.number().int(),
  totalBytes: z.number().int().max(MAX_VALUE_BYTES),
  chunk: z.instanceof(Uint8Array)
})

type ParseTables = typeof parseTables

/** Current tables of this instance, from the store or from a peer that has a newer revision. */
export class TableReplica implements CurrentTables {
  readonly #network: PeerNetwork
  readonly #logger: EventLogger
  readonly #metrics: MetricSink
  readonly #parse: ParseTables
  readonly #listeners: ((tables: TableSet) => void)[] = []
  #current: TableSet | undefined
  #currentBytes = new Uint8Array()
  #rejectedRevision = 0
  #isFetching = false

  constructor (network: PeerNetwork, cache: StoreCache, logger: EventLogger, metrics: MetricSink, parse: ParseTables = parseTables) {
    this.#network = network
    this.#logger = logger
    this.#metrics = metrics
    this.#parse = parse
    cache.subscribe((keys) => {
      const stored = keys.includes(TABLES_KEY) ? cache.find(TABLES_KEY) : undefined
      if (stored !== undefined) this.applyValue(stored.value, stored.modRevision)
    })
    network.registerHandler(PEER_MESSAGE_KINDS.fetchTables, async (body) => this.#serveChunk(body))
  }

  readCurrent (): TableSet | undefined {
    return this.#current
  }

  subscribe (listener: (tables: TableSet) => void): void {
    this.#listeners.push(listener)
  }

  /** Applies a stored value if its revision is newer. If it can't be parsed, the last valid tables stay current. */
  applyValue (text: string, revision: number): void {
    if (revision <= (this.#current?.revision ?? 0) || revision <= this.#rejectedRevision) return
    const texts = parseRecord(tablesSchema, text)
    const parsed = texts === undefined ? undefined : this.#parse(texts, revision)
    if (parsed === undefined || parsed.err) {
      this.#rejectedRevision = revision
      this.#logger.logError(PEER_LOG_EVENTS.tablesRejected, { revision, findings: parsed === undefined ? 'not a tables value' : parsed.val.length })
      return
    }
    this.#current = parsed.val
    this.#currentBytes = Buffer.from(text)
    this.#metrics.setGauge('peer.tables.revision', revision)
    this.#logger.logInfo(PEER_LOG_EVENTS.tablesApplied, { revision, hash: parsed.val.hash })
    for (const listener of this.#listeners) listener(parsed.val)
  }

  /** Fetches the tables from a peer if it reports a newer revision and no fetch is in progress. */
  async receiveGossip (from: PeerIdentity, revision: number): Promise<void> {
    if (this.#isFetching || revision <= Math.max(this.#current?.revision ?? 0, this.#rejectedRevision)) return
    this.#isFetching = true
    const value = await this.#fetchValue(from, revision)
    this.#isFetching = false
    if (value !== undefined) this.applyValue(value, revision)
  }

  async #fetchValue (from: PeerIdentity, revision: number): Promise<string | undefined> {
    const chunks: Uint8Array[] = []
    let offset = 0
    let totalBytes = 0
    do {
      const reply = await this.#network.sendRequest(from.instance, PEER_MESSAGE_KINDS.fetchTables, { revision, offset }, FETCH_TIMEOUT_MS)
      const parsed = reply.ok ? chunkSchema.safeParse(reply.val) : undefined
      if (parsed?.success !== true || parsed.data.revision !== revision || parsed.data.chunk.byteLength === 0) return undefined
      chunks.push(parsed.data.chunk)
      offset += parsed.data.chunk.byteLength
      totalBytes = parsed.data.totalBytes
    } while (offset < totalBytes)
    return Buffer.concat(chunks).toString('utf8')
  }

  #serveChunk (body: unknown): unknown {
    const request = fetchSchema.parse(body)
    const revision = this.#current?.revision ?? 0
    if (request.revision !== revision) return { revision, totalBytes: 0, chunk: new Uint8Array() }
    const chunk = this.#currentBytes.subarray(request.offset, request.offset + TABLE_CHUNK_BYTES)
    return { revision, totalBytes: this.#currentBytes.byteLength, chunk: Buffer.from(chunk) }
  }
}
