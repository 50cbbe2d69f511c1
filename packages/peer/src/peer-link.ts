import type { InstanceId } from '@hibiscusledge/runtime/identifiers.js'
import type { WebSocket } from 'ws'
import { z } from 'zod'
import { decodeFrame, encodeFrame, PROTOCOL_VERSION, type PeerFrame } from './peer-frame.js'
import { PEER_ERROR_CODES, type PeerError, type PeerIdentity } from './peer-network.js'
import { PEER_MESSAGE_KINDS } from './peer-message-kinds.js'
import { memberRecordSchema } from './store-records.js'

/** WebSocket close codes of links, in the range that RFC 6455 reserves for private use. */
export const LINK_CLOSE_CODES = { malformed: 4_000, protocolVersion: 4_001, duplicate: 4_002, stopping: 4_003, self: 4_004 } as const
/** No frames are sent while more bytes than this are buffered, so that a slow peer can't exhaust the memory. */
export const MAX_BUFFERED_BYTES = 8_388_608

export const helloSchema = z.object({
  instance: memberRecordSchema.shape.instance,
  incarnation: memberRecordSchema.shape.incarnation,
  protocol: z.number().int(),
  startedAt: z.number()
})
export type Hello = z.output<typeof helloSchema>

export interface PeerLinkHandler {
  onHello (link: PeerLink, hello: Hello): void
  onFrame (link: PeerLink, frame: PeerFrame): void
  onMalformed (link: PeerLink, error: PeerError): void
  onClosed (link: PeerLink, code: number): void
}

/** One WebSocket connection to a peer. The link is open once the peer's hello has been accepted. */
export class PeerLink {
  readonly #socket: WebSocket
  readonly #readNowMs: () => number
  readonly isOutbound: boolean
  #hello: Hello | undefined
  #isAccepted = false
  #lastReceivedMs: number

  constructor (socket: WebSocket, isOutbound: boolean, handler: PeerLinkHandler, readNowMs: () => number) {
    this.#socket = socket
    this.#readNowMs = readNowMs
    this.isOutbound = isOutbound
    this.#lastReceivedMs = readNowMs()
    socket.on('message', (data: Buffer | ArrayBuffer | Buffer[], isBinary: boolean) => { this.#receive(data, isBinary, handler) })
    // The 'close' event follows every error.
    socket.on('error', () => {})
    socket.on('close', (code: number) => handler.onClosed(this, code))
  }

  readHello (): Hello | undefined {
    return this.#hello
  }

  /** Returns the peer once its hello has been accepted. */
  readPeer (): PeerIdentity | undefined {
    return this.#isAccepted ? this.#hello : undefined
  }

  readInitiator (self: InstanceId): InstanceId {
    return this.isOutbound ? self : this.#hello?.instance ?? self
  }

  readIdleMs (): number {
    return this.#readNowMs() - this.#lastReceivedMs
  }

  accept (): void {
    this.#isAccepted = true
  }

  /** Restarts the idle time, after a pause of this process. */
  resetIdleTime (): void {
    this.#lastReceivedMs = this.#readNowMs()
  }

  sendHello (hello: Omit<Hello, 'protocol'>): void {
    this.send({ kind: PEER_MESSAGE_KINDS.hello, body: { ...hello, protocol: PROTOCOL_VERSION } })
  }

  /** Sends a frame. Returns an error if the frame was certainly not sent. */
  send (frame: PeerFrame): PeerError | undefined {
    if (this.#socket.readyState !== this.#socket.OPEN) return { code: PEER_ERROR_CODES.notConnected, message: 'the link is not open' }
    if (this.#socket.bufferedAmount > MAX_BUFFERED_BYTES) {
      return { code: PEER_ERROR_CODES.notConnected, message: `the send buffer of the link holds over ${MAX_BUFFERED_BYTES} bytes` }
    }
    const bytes = encodeFrame(frame)
    if (bytes.err) return bytes.val
    this.#socket.send(bytes.val, () => {})
    return undefined
  }

  close (code: number, reason: string): void {
    this.#socket.close(code, reason)
  }

  /** Ends the connection without a closing handshake, which an unresponsive peer would not complete. */
  terminate (): void {
    this.#socket.terminate()
  }

  #receive (data: Buffer | ArrayBuffer | Buffer[], isBinary: boolean, handler: PeerLinkHandler): void {
    this.#lastReceivedMs = this.#readNowMs()
    if (!isBinary || !Buffer.isBuffer(data)) {
      return handler.onMalformed(this, { code: PEER_ERROR_CODES.malformed, message: 'frames are binary messages' })
    }
    const frame = decodeFrame(data)
    if (frame.err) return handler.onMalformed(this, frame.val)
    if (this.#hello !== undefined) return handler.onFrame(this, frame.val)
    const hello = frame.val.kind === PEER_MESSAGE_KINDS.hello ? helloSchema.safeParse(frame.val.body) : undefined
    if (hello?.success !== true) return handler.onMalformed(this, { code: PEER_ERROR_CODES.malformed, message: 'the first frame must be a valid hello' })
    this.#hello = hello.data
    handler.onHello(this, hello.data)
  }
}
