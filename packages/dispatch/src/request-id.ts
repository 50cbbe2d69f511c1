import { createHash } from 'node:crypto'
import { toRequestId, toUnitId, type RequestId, type UnitId } from '@hibiscusledge/runtime/identifiers.js'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'

export const PARTITION_PREFIX = 'partition/'

const REQUEST_ID = /^([0-9a-z]{1,8})-([0-9a-f]{32})$/
const RANDOM_BYTES = 16
const HASH_CHARACTERS = 32

/** Returns the ledger partition of a request, or undefined when the text is not a request identifier. */
export function findPartition (requestId: string): UnitId | undefined {
  const suffix = REQUEST_ID.exec(requestId)?.[1]
  return suffix === undefined ? undefined : toUnitId(`${PARTITION_PREFIX}${suffix}`)
}

/**
 * Builds the identifier of a request with an idempotency key. The same customer, key and partitions always give the same
 * identifier. Returns undefined when there are no partitions.
 */
export function buildKeyedRequestId (customer: string, idempotencyKey: string, partitions: readonly UnitId[]): RequestId | undefined {
  const hash = createHash('sha256').update(customer).update('\0').update(idempotencyKey).digest()
  const partition = partitions[hash.readUInt32BE(0) % Math.max(1, partitions.length)]
  return partition === undefined ? undefined : formatRequestId(partition, hash.toString('hex').slice(0, HASH_CHARACTERS))
}

/** Draws the identifier of a request without an idempotency key, in one of `partitions`. Returns undefined without any. */
export function drawRequestId (partitions: readonly UnitId[], random: RandomSource): RequestId | undefined {
  const partition = partitions.length === 0 ? undefined : partitions[random.drawInteger(partitions.length)]
  return partition === undefined ? undefined : formatRequestId(partition, random.drawHex(RANDOM_BYTES))
}

/** Computes the fingerprint of a request, which distinguishes a retry from a reused idempotency key. */
export function computeFingerprint (kind: string, team: string, payload: unknown): string {
  return createHash('sha256').update(JSON.stringify([kind, team, payload ?? null])).digest('hex').slice(0, HASH_CHARACTERS)
}

function formatRequestId (partition: UnitId, suffix: string): RequestId {
  return toRequestId(`${partition.slice(PARTITION_PREFIX.length)}-${suffix}`)
}
