import { toIncarnation, toInstanceId, toUnitId, type Incarnation, type InstanceId, type UnitId } from '@hibiscusledge/runtime/identifiers.js'
import { z } from 'zod'

export const LAYOUT_KEY = 'hl/layout'
export const TABLES_KEY = 'hl/tables'
export const ALIVE_PREFIX = 'hl/alive/'
export const VIEW_PREFIX = 'hl/view/'
export const OWNER_PREFIX = 'hl/owner/'

const instance = z.string().min(1).transform(toInstanceId)
const incarnation = z.string().min(1).transform(toIncarnation)

export const layoutSchema = z.object({ partitions: z.number().int().min(1).max(256) })
export const memberRecordSchema = z.object({
  instance,
  incarnation,
  address: z.string(),
  failureDomain: z.string(),
  isDraining: z.boolean(),
  startedAt: z.number()
})
const viewMemberSchema = z.object({ instance, incarnation, address: z.string() })
export const viewSchema = z.object({
  incarnation,
  /** Number of the alive key's registration by this incarnation, from 1. Each promise is given for one registration. */
  registration: z.number().int().nonnegative(),
  address: z.string(),
  members: z.array(viewMemberSchema),
  nonce: z.string()
})
export const ownerSchema = z.object({
  /** Empty when the unit was released without a successor. */
  owner: z.string().transform(toInstanceId),
  incarnation: z.string().transform(toIncarnation),
  epoch: z.number().int().positive(),
  nonce: z.string()
})
export const tablesSchema = z.object({ routes: z.string(), pools: z.string() })

/** Value of an alive key: it exists while the lease of the instance's registration does. */
export type MemberRecord = z.output<typeof memberRecordSchema>
export type ViewMember = z.output<typeof viewMemberSchema>
export type ViewRecord = z.output<typeof viewSchema>
export type OwnerRecord = z.output<typeof ownerSchema>

export function formatAliveKey (instance: InstanceId): string { return ALIVE_PREFIX + instance }
/** One key for each incarnation: a restarted instance must not overwrite the view that governs takeovers from its predecessor. */
export function formatViewKey (instance: InstanceId, incarnation: Incarnation): string { return `${VIEW_PREFIX}${instance}/${incarnation}` }
export function formatOwnerKey (unit: UnitId): string { return OWNER_PREFIX + unit }
export function parseOwnerKey (key: string): UnitId { return toUnitId(key.slice(OWNER_PREFIX.length)) }
/** Formats the member key, which identifies one incarnation of an instance. */
export function formatMemberKey (member: { readonly instance: InstanceId, readonly incarnation: Incarnation }): string {
  return `${member.instance}/${member.incarnation}`
}
export function formatPartitionUnit (index: number): UnitId {
  return toUnitId(`partition/${index.toString(16).padStart(2, '0')}`)
}

/** Parses a stored JSON value. Returns undefined when it is malformed or does not match the schema. */
export function parseRecord<Schema extends z.ZodType> (schema: Schema, text: string): z.output<Schema> | undefined {
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch {
    return undefined
  }
  const parsed = schema.safeParse(value)
  return parsed.success ? parsed.data : undefined
}
