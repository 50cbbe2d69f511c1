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

/** Who sent a message. */
export interface PeerIdentity {
  readonly instance: InstanceId
  readonly incarnation: Incarnation
}

/** Handles one kind of message. The value it returns is the reply to a request and is ignored for a notice. */
export type PeerHandler = (body: unknown, from: PeerIdentity, trace: TraceContext | undefined) => Promise<unknown>

/** Messages between instances. A message to the own instance is delivered locally, without a link. */
export interface PeerNetwork {
  readonly self: PeerIdentity
  /** Sends a request and waits for its reply. A lost reply is a timeout: the peer may have handled the request. */
  sendRequest (to: InstanceId, kind: string, body: unknown, timeoutMs: number, trace?: TraceContext): Promise<Result<unknown, PeerError>>
  /** Sends a message without a reply. Returns false when there is no open link. */
  sendNotification (to: InstanceId, kind: string, body: unknown, trace?: TraceContext): boolean
  registerHandler (kind: string, handler: PeerHandler): void
  /** Instances with an open link that was heard from within the silence limit. */
  listConnected (): readonly PeerIdentity[]
}
