declare const brand: unique symbol

type Branded<Name extends string> = string & { readonly [brand]: Name }

/** Identifies an instance of hibiscusledge by its configured name. */
export type InstanceId = Branded<'InstanceId'>
/** Identifies one process of an instance. Each restart gets a new incarnation. */
export type Incarnation = Branded<'Incarnation'>
/** Identifies a request: `<partition hex>-<hex>`. */
export type RequestId = Branded<'RequestId'>
/** Identifies a worker or an executor. */
export type TargetId = Branded<'TargetId'>
/** Identifies a unit, which has one owner at a time: `executor/<failure domain>`, `worker/<failure domain>` or `partition/<hex>`. */
export type UnitId = Branded<'UnitId'>
/** Name of a failure domain. */
export type FailureDomain = Branded<'FailureDomain'>

export function toInstanceId (text: string): InstanceId { return text as InstanceId }
export function toIncarnation (text: string): Incarnation { return text as Incarnation }
export function toRequestId (text: string): RequestId { return text as RequestId }
export function toTargetId (text: string): TargetId { return text as TargetId }
export function toUnitId (text: string): UnitId { return text as UnitId }
export function toFailureDomain (text: string): FailureDomain { return text as FailureDomain }
