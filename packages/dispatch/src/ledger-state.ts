import type { RequestId } from '@hibiscusledge/runtime/identifiers.js'
import type { IntentEntry, LedgerEntry, OutcomeEntry, RequestFacts } from './ledger-entry.js'

/** State of one request in the ledger. */
export interface LedgerRecord {
  accepted: { readonly facts: RequestFacts, readonly deadlineWallMs: number } | undefined
  intent: IntentEntry | undefined
  outcome: OutcomeEntry | undefined
  /** Intent of an ended attempt that ran at least in part. Kept until the request has an outcome other than `unknown`. */
  endedIntent: IntentEntry | undefined
}

/** State of one partition, built by replaying its entries in commit order. */
export class LedgerState {
  readonly #records = new Map<RequestId, LedgerRecord>()

  applyEntry (entry: LedgerEntry): void {
    switch (entry.type) {
      case 'accepted': {
        const record = this.#ensureRecord(entry.facts.requestId)
        record.accepted = entry
        // The request was accepted again after a `notRun`.
        record.outcome = undefined
        break
      }
      case 'intent': {
        const record = this.#ensureRecord(entry.facts.requestId)
        record.intent = entry
        // The request runs after a `notRun`, so that outcome is no longer valid.
        record.outcome = undefined
        break
      }
      case 'withdrawn': {
        const record = this.#records.get(entry.requestId)
        if (record?.intent?.attempt === entry.attempt) {
          if (entry.hasRun === true) record.endedIntent = record.intent
          record.intent = undefined
        }
        if (record !== undefined && isEmptyRecord(record)) this.#records.delete(entry.requestId)
        break
      }
      case 'outcome': {
        const record = this.#ensureRecord(entry.requestId)
        record.outcome = entry
        record.accepted = undefined
        // An unknown outcome keeps its intent, because the target is still polled for the end of the attempt.
        if (entry.outcome.outcome !== 'unknown') {
          record.intent = undefined
          record.endedIntent = undefined
        }
        break
      }
    }
  }

  findRecord (requestId: RequestId): LedgerRecord | undefined {
    return this.#records.get(requestId)
  }

  listRecords (): IterableIterator<[RequestId, LedgerRecord]> {
    return this.#records.entries()
  }

  countRecords (): number {
    return this.#records.size
  }

  /** Removes the requests whose outcome is from before `endedBeforeWallMs`. */
  pruneOutcomes (endedBeforeWallMs: number): void {
    for (const [requestId, record] of this.#records) {
      if (record.outcome !== undefined && record.outcome.endedWallMs < endedBeforeWallMs) this.#records.delete(requestId)
    }
  }

  /** Builds the shortest list of entries that replays to the same state. */
  buildEntries (): LedgerEntry[] {
    const entries: LedgerEntry[] = []
    for (const [requestId, record] of this.#records) {
      if (record.endedIntent !== undefined) {
        entries.push(record.endedIntent, { type: 'withdrawn', requestId, attempt: record.endedIntent.attempt, hasRun: true })
      }
      if (record.accepted !== undefined) {
        entries.push({ type: 'accepted', facts: record.accepted.facts, deadlineWallMs: record.accepted.deadlineWallMs })
      }
      if (record.intent !== undefined) entries.push(record.intent)
      if (record.outcome !== undefined) entries.push(record.outcome)
    }
    return entries
  }

  #ensureRecord (requestId: RequestId): LedgerRecord {
    let record = this.#records.get(requestId)
    if (record === undefined) {
      record = { accepted: undefined, intent: undefined, outcome: undefined, endedIntent: undefined }
      this.#records.set(requestId, record)
    }
    return record
  }
}

function isEmptyRecord (record: LedgerRecord): boolean {
  return record.accepted === undefined && record.intent === undefined && record.outcome === undefined && record.endedIntent === undefined
}
