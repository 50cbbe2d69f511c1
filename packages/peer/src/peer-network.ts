import type { InstanceId, Incarnation } from '@hibiscusledge/runtime/identifiers.js'
import type { TraceContext } from '@hibiscusledge/runtime/trace-context.js'
import type { Result } from '@hibiscusledge/runtime/result.js'

export const PEER_ERROR_CODES = {
  notConnected: 'notConnected',
  timeout: 'timeout',
  closed: 'closed',
  unknownKind: 'unknownKind',
  malformed: 'malformed',
  tooLarge: 'tooLarge',
  handlerFailed: 'handlerFailed'
} as const
export type PeerErrorCode = typeof PEER_ERROR_CODES[keyof typeof PEER_ERROR_CODES]

export interface PeerError {
  readonly code: PeerErrorCode
  readonly message: string
}

/** Sender of a message. */
export interface PeerIdentity {
  readonly instance: InstanceId
  readonly incarnation: Incarnation
}

/** Handles messages of one kind. The returned value is the reply to a request; for a notification it is ignored. */
export type PeerHandler = (body: unknown, from: PeerIdentity, trace: TraceContext | undefined) => Promise<unknown>

/** Sends and receives messages between instances. A message to this instance itself is delivered locally, without a link. */
export interface PeerNetwork {
  readonly self: PeerIdentity
  /** Sends a request and waits for the reply. After a `timeout` or `closed` error the peer may have handled the request. */
  sendRequest (to: InstanceId, kind: string, body: unknown, timeoutMs: number, trace?: TraceContext): Promise<Result<unknown, PeerError>>
  /** Sends a one-way message. Returns false when it was not sent, for example without an open link. */
  sendNotification (to: InstanceId, kind: string, body: unknown, trace?: TraceContext): boolean
  registerHandler (kind: string, handler: PeerHandler): void
  /** Returns the instances with an open link on which something was received within `PeerTimings.linkIdleTimeoutMs`. */
  listConnected (): readonly PeerIdentity[]
}
