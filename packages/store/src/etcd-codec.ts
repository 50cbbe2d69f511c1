import { z } from 'zod'
import type { Mutation, StoredValue, Transaction, WatchEvent } from './key-value-store.js'

// The JSON gateway encodes int64 fields as decimal strings and omits fields that have their default value.
const int64 = z.union([z.string().regex(/^-?\d+$/), z.number().int()]).transform(Number)
const int64Text = z.union([z.string().regex(/^-?\d+$/), z.number().int()]).transform(String)
const base64Text = z.string().default('').transform(decodeBase64)

const header = z.object({ revision: int64.default(0) })

export const etcdKeyValue = z.object({
  key: base64Text,
  value: base64Text,
  create_revision: int64.default(0),
  mod_revision: int64.default(0),
  lease: int64Text.default('0')
})
export type EtcdKeyValue = z.infer<typeof etcdKeyValue>

export const rangeResponse = z.object({ header, kvs: z.array(etcdKeyValue).default([]), more: z.boolean().default(false) })
export const transactionResponse = z.object({ header, succeeded: z.boolean().default(false) })
export const leaseGrantResponse = z.object({ ID: int64Text })
export const leaseKeepAliveResponse = z.object({ result: z.object({ ID: int64Text.optional(), TTL: int64.default(0) }) })
export const leaseRevokeResponse = z.object({ header })
export const watchResponse = z.object({
  result: z.object({
    header,
    created: z.boolean().default(false),
    canceled: z.boolean().default(false),
    compact_revision: int64.default(0),
    cancel_reason: z.string().default(''),
    events: z.array(z.object({ type: z.enum(['PUT', 'DELETE']).default('PUT'), kv: etcdKeyValue })).default([])
  }).optional(),
  error: z.object({ message: z.string().default('') }).optional()
})

export function encodeBase64 (text: string): string {
  return Buffer.from(text, 'utf8').toString('base64')
}

export function decodeBase64 (text: string): string {
  return Buffer.from(text, 'base64').toString('utf8')
}

/** Returns the base64 `key` and `range_end` that select every key with the prefix. An empty prefix selects all keys. */
export function encodePrefix (prefix: string): { key: string, range_end: string } {
  const end = Buffer.from(prefix, 'utf8')
  for (let index = end.length - 1; index >= 0; index--) {
    const byte = end[index] ?? 0
    if (byte === 0xff) continue
    end[index] = byte + 1
    return { key: encodeBase64(prefix), range_end: end.subarray(0, index + 1).toString('base64') }
  }
  return { key: encodeBase64('\0'), range_end: encodeBase64('\0') }
}

export function toStoredValue (entry: EtcdKeyValue): StoredValue {
  return {
    key: entry.key,
    value: entry.value,
    createRevision: entry.create_revision,
    modRevision: entry.mod_revision,
    leaseId: entry.lease === '0' ? '' : entry.lease
  }
}

export function toWatchEvent (event: { type: 'PUT' | 'DELETE', kv: EtcdKeyValue }): WatchEvent {
  if (event.type === 'DELETE') return { type: 'delete', key: event.kv.key, modRevision: event.kv.mod_revision }
  return { type: 'put', value: toStoredValue(event.kv) }
}

/** Returns the body of `POST /v3/kv/txn`. */
export function encodeTransaction (transaction: Transaction): unknown {
  return {
    compare: transaction.comparisons.map((comparison) => ({
      key: encodeBase64(comparison.key), target: 'MOD', result: 'EQUAL', mod_revision: String(comparison.modRevision)
    })),
    success: transaction.mutations.map(encodeMutation),
    failure: []
  }
}

function encodeMutation (mutation: Mutation): unknown {
  switch (mutation.type) {
    case 'put': {
      const put = { key: encodeBase64(mutation.key), value: encodeBase64(mutation.value) }
      const leaseId = mutation.leaseId ?? ''
      return { request_put: leaseId === '' ? put : { ...put, lease: leaseId } }
    }
    case 'delete': return { request_delete_range: { key: encodeBase64(mutation.key) } }
    case 'deletePrefix': return { request_delete_range: encodePrefix(mutation.prefix) }
  }
}
