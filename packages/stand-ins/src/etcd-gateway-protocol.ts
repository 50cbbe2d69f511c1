import { decodeBase64, encodeBase64, encodePrefix } from '@hibiscusledge/store/etcd-codec.js'
import type { KeyCondition, KeySpaceError } from '@hibiscusledge/store/key-space.js'
import type { Mutation, StoredValue, WatchEvent } from '@hibiscusledge/store/key-value-store.js'
import { z } from 'zod'
import type { JsonResponse } from './stand-in-server.js'

const int64 = z.union([z.string().regex(/^-?\d+$/), z.number().int()])
const keyRange = z.object({ key: z.string().min(1), range_end: z.string().default('') })

export const rangeRequest = keyRange
export const transactionRequest = z.object({
  compare: z.array(z.object({
    key: z.string().min(1),
    target: z.enum(['VERSION', 'CREATE', 'MOD', 'VALUE', 'LEASE']).default('VERSION'),
    result: z.enum(['EQUAL', 'GREATER', 'LESS', 'NOT_EQUAL']).default('EQUAL'),
    mod_revision: int64.default('0'),
    create_revision: int64.default('0'),
    value: z.string().default('')
  })).default([]),
  success: z.array(z.object({
    request_put: z.object({ key: z.string().min(1), value: z.string().default(''), lease: int64.default('0') }).optional(),
    request_delete_range: keyRange.optional()
  })).default([]),
  failure: z.array(z.unknown()).max(0).default([])
})
export const leaseGrantRequest = z.object({ TTL: int64 })
export const leaseRequest = z.object({ ID: int64 })
export const watchRequest = z.object({
  create_request: keyRange.extend({ start_revision: int64.default('0'), progress_notify: z.boolean().default(false) })
})

/** gRPC code, HTTP status and message of the gateway's errors. */
const ERRORS = {
  invalid: { code: 3, status: 400, message: 'etcdserver: invalid argument' },
  duplicateKey: { code: 3, status: 400, message: 'etcdserver: duplicate key given in txn request' },
  tooManyOperations: { code: 3, status: 400, message: 'etcdserver: too many operations in txn request' },
  tooLarge: { code: 3, status: 400, message: 'etcdserver: request is too large' },
  leaseNotFound: { code: 5, status: 404, message: 'etcdserver: requested lease not found' },
  tooManyRequests: { code: 8, status: 429, message: 'etcdserver: too many requests' },
  unimplemented: { code: 12, status: 501, message: 'not part of the subset' },
  notFound: { code: 5, status: 404, message: 'Not Found' }
} as const

export function createErrorResponse (name: keyof typeof ERRORS | KeySpaceError): JsonResponse {
  const { code, status, message } = ERRORS[name]
  return { status, body: { error: message, code, message, details: [] } }
}

export function createHeader (revision: number): Record<string, string> {
  return { cluster_id: '1', member_id: '1', revision: String(revision), raft_term: '2' }
}

/** Returns the prefix that a key range selects, or undefined when the range does not select a prefix. */
export function decodePrefix (key: string, rangeEnd: string): string | undefined {
  const text = decodeBase64(key)
  if (encodePrefix(text).range_end === rangeEnd) return text
  return key === encodePrefix('').key && rangeEnd === encodePrefix('').range_end ? '' : undefined
}

/** Returns conditions and mutations, or undefined when the transaction uses a feature of etcd that is not implemented. */
export function decodeTransaction (
  request: z.output<typeof transactionRequest>
): { conditions: KeyCondition[], mutations: Mutation[] } | undefined {
  const conditions: KeyCondition[] = []
  for (const { key, target, result, mod_revision: modRevision, create_revision: createRevision, value } of request.compare) {
    if (result !== 'EQUAL') return undefined
    if (target === 'MOD') conditions.push({ key: decodeBase64(key), field: 'modRevision', expected: Number(modRevision) })
    else if (target === 'CREATE') conditions.push({ key: decodeBase64(key), field: 'createRevision', expected: Number(createRevision) })
    else if (target === 'VALUE') conditions.push({ key: decodeBase64(key), field: 'value', expected: decodeBase64(value) })
    else return undefined
  }
  const mutations: Mutation[] = []
  for (const { request_put: put, request_delete_range: deletion } of request.success) {
    const mutation = put !== undefined ? decodePut(put) : deletion !== undefined ? decodeDeletion(deletion) : undefined
    if (mutation === undefined) return undefined
    mutations.push(mutation)
  }
  return { conditions, mutations }
}

// Like the gateway, the encoders omit fields with their default value.
export function encodeStoredValue (stored: StoredValue): Record<string, string> {
  return {
    key: encodeBase64(stored.key),
    create_revision: String(stored.createRevision),
    mod_revision: String(stored.modRevision),
    version: '1',
    ...(stored.value === '' ? {} : { value: encodeBase64(stored.value) }),
    ...(stored.leaseId === '' ? {} : { lease: stored.leaseId })
  }
}

export function encodeWatchEvent (event: WatchEvent): unknown {
  if (event.type === 'put') return { kv: encodeStoredValue(event.value) }
  return { type: 'DELETE', kv: { key: encodeBase64(event.key), mod_revision: String(event.modRevision) } }
}

function decodePut (put: { key: string, value: string, lease: string | number }): Mutation {
  const mutation = { type: 'put', key: decodeBase64(put.key), value: decodeBase64(put.value) } as const
  return Number(put.lease) === 0 ? mutation : { ...mutation, leaseId: String(put.lease) }
}

function decodeDeletion ({ key, range_end: rangeEnd }: z.output<typeof keyRange>): Mutation | undefined {
  if (rangeEnd === '') return { type: 'delete', key: decodeBase64(key) }
  const prefix = decodePrefix(key, rangeEnd)
  return prefix === undefined ? undefined : { type: 'deletePrefix', prefix }
}
