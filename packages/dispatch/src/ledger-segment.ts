import type { KeyValueStore } from '@hibiscusledge/store/key-value-store.js'
import type { StoreError } from '@hibiscusledge/store/store-error.js'
import type { Finding } from '@hibiscusledge/runtime/finding.js'
import type { UnitId } from '@hibiscusledge/runtime/identifiers.js'
import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import { ledgerSegmentSchema, type LedgerEntry } from './ledger-entry.js'
import { PARTITION_PREFIX } from './request-id.js'
import { LEDGER_KEY_PREFIX } from './store-keys.js'

/** Sequence numbers are padded to this many digits, so that keys sort in commit order. */
const SEQUENCE_DIGITS = 12

/** The segments of one partition, as read from the store. */
export interface LoadedLedger {
  readonly keys: string[]
  readonly entries: LedgerEntry[]
  readonly nextSequence: number
  /** Segments that could not be decoded. */
  readonly findings: Finding[]
}

export function buildSegmentPrefix (partition: UnitId): string {
  return `${LEDGER_KEY_PREFIX}${partition.slice(PARTITION_PREFIX.length)}/`
}

export function buildSegmentKey (partition: UnitId, sequence: number): string {
  return `${buildSegmentPrefix(partition)}${String(sequence).padStart(SEQUENCE_DIGITS, '0')}`
}

export function encodeSegment (nonce: string, entries: readonly LedgerEntry[]): string {
  return JSON.stringify({ nonce, entries })
}

/** Returns the size of an entry in a segment, in UTF-8 bytes, which the store's value limit counts. */
export function measureEntry (entry: LedgerEntry): number {
  return Buffer.byteLength(JSON.stringify(entry))
}

/**
 * Splits entries into groups, in order. A group ends with the entry that takes it above `maxBytes`. Returns at least one
 * group.
 */
export function groupEntries (entries: readonly LedgerEntry[], maxBytes: number): LedgerEntry[][] {
  let group: LedgerEntry[] = []
  let bytes = 0
  const groups = [group]
  for (const entry of entries) {
    if (bytes > maxBytes) {
      group = []
      bytes = 0
      groups.push(group)
    }
    group.push(entry)
    bytes += measureEntry(entry)
  }
  return groups
}

/** Reads all segments of a partition in commit order. Segments that can't be decoded are listed as findings. */
export async function loadLedger (store: KeyValueStore, partition: UnitId): Promise<Result<LoadedLedger, StoreError>> {
  const listing = await store.listPrefix(buildSegmentPrefix(partition), 'critical')
  if (!listing.ok) return Err(listing.val)
  const loaded: LoadedLedger = { keys: [], entries: [], nextSequence: 0, findings: [] }
  let nextSequence = 0
  for (const stored of [...listing.val.values].sort((left, right) => left.key < right.key ? -1 : 1)) {
    loaded.keys.push(stored.key)
    nextSequence = Math.max(nextSequence, Number(stored.key.slice(-SEQUENCE_DIGITS)) + 1)
    const decoded = decodeSegment(stored.value)
    if (decoded.ok) loaded.entries.push(...decoded.val)
    else loaded.findings.push({ code: 'segmentUnreadable', place: stored.key, message: decoded.val })
  }
  return Ok({ ...loaded, nextSequence })
}

function decodeSegment (text: string): Result<LedgerEntry[], string> {
  try {
    const parsed = ledgerSegmentSchema.safeParse(JSON.parse(text))
    return parsed.success ? Ok(parsed.data.entries) : Err(parsed.error.issues.map((issue) => issue.message).join('; '))
  } catch (error) {
    return Err(error instanceof Error ? error.message : 'not JSON')
  }
}
