import type { Clock } from '@hibiscusledge/runtime/clock.js'
import { computeBackoffMs } from '@hibiscusledge/runtime/backoff.js'
import type { Finding } from '@hibiscusledge/runtime/finding.js'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import type { KeyValueStore, StoredValue } from '@hibiscusledge/store/key-value-store.js'
import { STORE_ERROR_CODES, type StoreError } from '@hibiscusledge/store/store-error.js'
import { Ok, type Result } from '@hibiscusledge/runtime/result.js'
import type { ApplyOutcome, TableConflict } from './apply-outcome.js'
import { hashTables } from './hash-tables.js'
import { parseTables } from './parse-tables.js'
import { encodeStoredTables, MAX_STORED_TABLES_BYTES, parseStoredTables, type StoredTables, TABLES_KEY } from './stored-tables.js'
import { APPLY_REASONS, TABLE_PROBLEMS } from './table-messages.js'
import type { TableTexts } from './table-set.js'

const NONCE_BYTES = 16
const MAX_AUTHOR_LENGTH = 128
/** Reads and repeated commits after a lost reply. With the backoff they cover a store outage of about 4 s. */
const MAX_RESOLVE_ATTEMPTS = 6
const RESOLVE_BACKOFF = { initialMs: 100, maximumMs: 2_000 } as const

/** One change of the tables as an operator submits it. */
export interface ApplyRequest {
  readonly texts: TableTexts
  /** The revision that the change was made from; 0 when there were no tables. */
  readonly expectedRevision: number
  readonly author: string
}

/** The tables in the store with their revision. */
export interface StoredRevision {
  /** Modification revision of the key. */
  readonly revision: number
  /** Undefined when the value is not in the format of this program. */
  readonly stored: StoredTables | undefined
  readonly value: string
}

/** One attempt to change the tables; all its commits carry the same nonce, so at most one takes effect. */
interface Attempt {
  readonly request: ApplyRequest
  readonly nonce: string
  readonly value: string
}

/** Reads and changes the tables in the platform's store. */
export class TableStore {
  readonly #store: KeyValueStore
  readonly #clock: Clock
  readonly #random: RandomSource

  constructor (store: KeyValueStore, clock: Clock, random: RandomSource) {
    this.#store = store
    this.#clock = clock
    this.#random = random
  }

  /** The tables in the store; undefined when there are none yet. */
  async readTables (): Promise<Result<StoredRevision | undefined, StoreError>> {
    const reply = await this.#store.readKey(TABLES_KEY, 'background')
    return reply.ok ? new Ok(toStoredRevision(reply.val)) : reply
  }

  /** Replaces the tables when `expectedRevision` is still the current one. */
  async applyTables (request: ApplyRequest): Promise<ApplyOutcome> {
    const findings = checkRequest(request)
    if (findings.length > 0) return { type: 'invalid', findings }
    const nonce = this.#random.drawHex(NONCE_BYTES)
    const appliedAt = new Date(this.#clock.readWallMs()).toISOString()
    const { routes, pools } = request.texts
    const value = encodeStoredTables({ routes, pools, nonce, author: request.author, appliedAt })
    const byteCount = Buffer.byteLength(value)
    if (byteCount > MAX_STORED_TABLES_BYTES) return createTooLargeOutcome(byteCount)
    return await this.#commitAttempt({ request, nonce, value })
  }

  async #commitAttempt (attempt: Attempt): Promise<ApplyOutcome> {
    const reply = await this.#sendCommit(attempt)
    if (reply.ok) {
      if (reply.val.isCommitted) return createAcceptedOutcome(attempt, reply.val.revision)
      return await this.#describeConflict(attempt)
    }
    if (reply.val.isEffectUnknown) return await this.#resolveLostReply(attempt, reply.val)
    if (reply.val.code === STORE_ERROR_CODES.tooLarge) return createTooLargeOutcome(Buffer.byteLength(attempt.value))
    return { type: 'notApplied', reason: reply.val.message }
  }

  /** After a refused commit: names both sides. The nonce is compared in case a connection delivered the same commit twice. */
  async #describeConflict (attempt: Attempt): Promise<ApplyOutcome> {
    const reply = await this.#store.readKey(TABLES_KEY, 'critical')
    if (!reply.ok) return { type: 'notApplied', reason: APPLY_REASONS.conflictUnreadable(attempt.request.expectedRevision, reply.val.message) }
    const current = toStoredRevision(reply.val)
    if (current?.stored?.nonce === attempt.nonce) return createAcceptedOutcome(attempt, current.revision)
    return { type: 'conflict', conflict: createConflict(attempt, current) }
  }

  /**
   * After a lost reply: reads the nonce back before answering. While the expected revision is still current, the lost
   * commit may still arrive, so the same commit is sent again; both compare the revision, so at most one takes effect.
   */
  async #resolveLostReply (attempt: Attempt, error: StoreError): Promise<ApplyOutcome> {
    let reason = error.message
    for (let retry = 0; retry < MAX_RESOLVE_ATTEMPTS; retry++) {
      await this.#waitBeforeRetry(retry)
      const reply = await this.#store.readKey(TABLES_KEY, 'critical')
      if (!reply.ok) {
        reason = reply.val.message
        continue
      }
      const current = toStoredRevision(reply.val)
      if (current?.stored?.nonce === attempt.nonce) return createAcceptedOutcome(attempt, current.revision)
      const currentRevision = current?.revision ?? 0
      if (currentRevision !== attempt.request.expectedRevision) {
        // The other change may have replaced this one after it took effect, which only this attempt's reply could tell.
        return { type: 'unknown', reason: APPLY_REASONS.replaced(currentRevision, current?.stored?.author ?? '') }
      }
      const repeated = await this.#sendCommit(attempt)
      if (repeated.ok && repeated.val.isCommitted) return createAcceptedOutcome(attempt, repeated.val.revision)
      if (!repeated.ok) reason = repeated.val.message
    }
    return { type: 'unknown', reason }
  }

  #sendCommit (attempt: Attempt): ReturnType<KeyValueStore['commitTransaction']> {
    return this.#store.commitTransaction({
      comparisons: [{ key: TABLES_KEY, modRevision: attempt.request.expectedRevision }],
      mutations: [{ type: 'put', key: TABLES_KEY, value: attempt.value }]
    }, 'critical')
  }

  async #waitBeforeRetry (retry: number): Promise<void> {
    const delayMs = computeBackoffMs(retry, RESOLVE_BACKOFF, this.#random)
    await new Promise<void>((resolve) => { this.#clock.startTimer(delayMs, resolve) })
  }
}

function checkRequest (request: ApplyRequest): readonly Finding[] {
  const findings: Finding[] = []
  if (request.author.trim() === '' || request.author.length > MAX_AUTHOR_LENGTH) {
    findings.push({ ...TABLE_PROBLEMS.invalidAuthor(MAX_AUTHOR_LENGTH), place: 'author' })
  }
  if (!Number.isSafeInteger(request.expectedRevision) || request.expectedRevision < 0) {
    findings.push({ ...TABLE_PROBLEMS.invalidExpectedRevision(), place: 'expectedRevision' })
  }
  const tables = parseTables(request.texts, request.expectedRevision)
  return tables.ok ? findings : [...findings, ...tables.val]
}

function toStoredRevision (stored: StoredValue | undefined): StoredRevision | undefined {
  if (stored === undefined) return undefined
  return { revision: stored.modRevision, stored: parseStoredTables(stored.value), value: stored.value }
}

function createAcceptedOutcome (attempt: Attempt, revision: number): ApplyOutcome {
  return { type: 'accepted', revision, hash: hashTables(attempt.request.texts) }
}

function createTooLargeOutcome (byteCount: number): ApplyOutcome {
  return { type: 'tooLarge', byteCount, limitBytes: MAX_STORED_TABLES_BYTES }
}

function createConflict (attempt: Attempt, current: StoredRevision | undefined): TableConflict {
  return {
    currentRevision: current?.revision ?? 0,
    currentAuthor: current?.stored?.author ?? '',
    currentAppliedAt: current?.stored?.appliedAt ?? '',
    expectedRevision: attempt.request.expectedRevision,
    author: attempt.request.author
  }
}
