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
import type { TableSources } from './table-set.js'

const NONCE_BYTES = 16
const MAX_AUTHOR_LENGTH = 128
/** Attempts to find out whether a commit with a lost response took effect. With the backoff they cover a store outage of about 4 s. */
const MAX_RESOLVE_ATTEMPTS = 6
const RESOLVE_BACKOFF = { initialMs: 100, maximumMs: 2_000 } as const

/** A change of the tables, as submitted by an operator. */
export interface ApplyRequest {
  readonly texts: TableSources
  /** Revision on which the change is based; 0 when there were no tables. */
  readonly expectedRevision: number
  readonly author: string
}

/** The stored tables with their revision. */
export interface StoredRevision {
  /** Modification revision of the key. */
  readonly revision: number
  /** Undefined when the value is malformed. */
  readonly stored: StoredTables | undefined
  readonly value: string
}

/** An attempt to change the tables. All its commits have the same nonce and expected revision, so at most one takes effect. */
interface ApplyAttempt {
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

  /** Returns the stored tables, or undefined when there are none. */
  async readTables (): Promise<Result<StoredRevision | undefined, StoreError>> {
    const result = await this.#store.readKey(TABLES_KEY, 'background')
    return result.ok ? new Ok(toStoredRevision(result.val)) : result
  }

  /** Checks the tables and replaces the stored ones, if `expectedRevision` is still current. */
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

  async #commitAttempt (attempt: ApplyAttempt): Promise<ApplyOutcome> {
    const result = await this.#sendCommit(attempt)
    if (result.ok) {
      if (result.val.isCommitted) return createAcceptedOutcome(attempt, result.val.revision)
      return await this.#describeConflict(attempt)
    }
    if (result.val.isEffectUnknown) return await this.#resolveLostResponse(attempt, result.val)
    if (result.val.code === STORE_ERROR_CODES.tooLarge) return createTooLargeOutcome(Buffer.byteLength(attempt.value))
    return { type: 'notApplied', reason: result.val.message }
  }

  /**
   * Describes the conflict after a commit was refused. Compares the nonce first, because the commit may have been delivered
   * twice, and then this attempt itself was accepted.
   */
  async #describeConflict (attempt: ApplyAttempt): Promise<ApplyOutcome> {
    const result = await this.#store.readKey(TABLES_KEY, 'critical')
    if (!result.ok) return { type: 'notApplied', reason: APPLY_REASONS.conflictUnreadable(attempt.request.expectedRevision, result.val.message) }
    const current = toStoredRevision(result.val)
    if (current?.stored?.nonce === attempt.nonce) return createAcceptedOutcome(attempt, current.revision)
    return { type: 'conflict', conflict: createConflict(attempt, current) }
  }

  /**
   * Finds out after a lost response whether the commit took effect, by reading the nonce. While the expected revision is
   * current, the lost commit may still arrive, so the same commit is sent again. Both compare the revision, so at most one
   * takes effect.
   */
  async #resolveLostResponse (attempt: ApplyAttempt, error: StoreError): Promise<ApplyOutcome> {
    let reason = error.message
    for (let retry = 0; retry < MAX_RESOLVE_ATTEMPTS; retry++) {
      await this.#waitBeforeRetry(retry)
      const result = await this.#store.readKey(TABLES_KEY, 'critical')
      if (!result.ok) {
        reason = result.val.message
        continue
      }
      const current = toStoredRevision(result.val)
      if (current?.stored?.nonce === attempt.nonce) return createAcceptedOutcome(attempt, current.revision)
      const currentRevision = current?.revision ?? 0
      if (currentRevision !== attempt.request.expectedRevision) {
        // Whether this change took effect before the other one replaced it can't be known without the lost response.
        return { type: 'unknown', reason: APPLY_REASONS.replaced(currentRevision, current?.stored?.author ?? '') }
      }
      const repeated = await this.#sendCommit(attempt)
      if (repeated.ok && repeated.val.isCommitted) return createAcceptedOutcome(attempt, repeated.val.revision)
      if (!repeated.ok) reason = repeated.val.message
    }
    return { type: 'unknown', reason }
  }

  #sendCommit (attempt: ApplyAttempt): ReturnType<KeyValueStore['commitTransaction']> {
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

function createAcceptedOutcome (attempt: ApplyAttempt, revision: number): ApplyOutcome {
  return { type: 'accepted', revision, hash: hashTables(attempt.request.texts) }
}

function createTooLargeOutcome (byteCount: number): ApplyOutcome {
  return { type: 'tooLarge', byteCount, limitBytes: MAX_STORED_TABLES_BYTES }
}

function createConflict (attempt: ApplyAttempt, current: StoredRevision | undefined): TableConflict {
  return {
    currentRevision: current?.revision ?? 0,
    currentAuthor: current?.stored?.author ?? '',
    currentAppliedAt: current?.stored?.appliedAt ?? '',
    expectedRevision: attempt.request.expectedRevision,
    author: attempt.request.author
  }
}
