import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import { decodeFrame, encodeFrame, type PeerFrame } from './peer-frame.js'
import { PEER_LOG_EVENTS } from './peer-log-events.js'
import { PEER_ERROR_CODES, type PeerError, type PeerHandler, type PeerIdentity } from './peer-network.js'

/** Message handlers by kind. Also delivers messages of this instance to itself, without a link. */
export class HandlerRegistry {
  readonly #self: PeerIdentity
  readonly #clock: Clock
  readonly #logger: EventLogger
  readonly #handlers = new Map<string, PeerHandler>()

  constructor (self: PeerIdentity, clock: Clock, logger: EventLogger) {
    this.#self = self
    this.#clock = clock
    this.#logger = logger
  }

  register (kind: string, handler: PeerHandler): void {
    this.#handlers.set(kind, handler)
  }

  /** Runs the handler for a frame. Returns `unknownKind` without a handler and `handlerFailed` when it rejects. */
  async runHandler (frame: PeerFrame, from: PeerIdentity): Promise<Result<unknown, PeerError>> {
    const { kind, body, trace } = frame
    const handler = this.#handlers.get(kind)
    if (handler === undefined) return Err({ code: PEER_ERROR_CODES.unknownKind, message: `messages of kind ${kind} are not known here` })
    try {
      return Ok(await handler(body, from, trace))
    } catch (error) {
      this.#logger.logWarning(PEER_LOG_EVENTS.handlerFailed, { kind, peer: from.instance, error: String(error) })
      return Err({ code: PEER_ERROR_CODES.handlerFailed, message: `the handler of ${kind} failed` })
    }
  }

  /** Delivers a notification to a handler of this instance in a later turn of the event loop. Returns false if it can't be encoded. */
  sendNotification (frame: PeerFrame): boolean {
    const copy = this.#copyFrame(frame)
    if (copy.ok) setImmediate(() => { void this.runHandler(copy.val, this.#self) })
    return copy.ok
  }

  /** Delivers a request to a handler of this instance in a later turn of the event loop and waits for the reply. */
  async sendRequest (frame: PeerFrame, timeoutMs: number): Promise<Result<unknown, PeerError>> {
    const copy = this.#copyFrame(frame)
    if (copy.err) return copy
    return await new Promise((resolve) => {
      const error = { code: PEER_ERROR_CODES.timeout, message: `no reply within ${timeoutMs} ms` }
      const timer = this.#clock.startTimer(timeoutMs, () => resolve(Err(error)))
      setImmediate(() => {
        void this.runHandler(copy.val, this.#self).then((reply) => {
          timer.cancel()
          resolve(reply.err ? reply : this.#copyFrame({ kind: frame.kind, body: reply.val }).map((copied) => copied.body))
        })
      })
    })
  }

  /** Local messages are encoded and decoded like those on a link, so that no objects are shared and the same limits apply. */
  #copyFrame (frame: PeerFrame): Result<PeerFrame, PeerError> {
    return encodeFrame(frame).andThen((bytes) => decodeFrame(bytes))
  }
}
