import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import type { Dispatcher } from 'undici'
import { encodePrefix, toWatchEvent, watchResponse } from './etcd-codec.js'
import { toHttpFailure } from './http-request.js'
import type { Watch, WatchHandler } from './key-value-store.js'

export interface EtcdWatchOptions {
  readonly dispatcher: Dispatcher
  readonly clock: Clock
  readonly origin: string
  readonly prefix: string
  readonly fromRevision: number
  /** `onClosed` is called when the stream ends by itself, and not after `close`. */
  readonly handler: WatchHandler
  /** A stream on which no data has arrived for this long is closed, because an open connection may never deliver again. */
  readonly idleTimeoutMs: number
  /** Called before `handler.onClosed` when the stream ends by itself, and not after `close`. */
  readonly onFailed: () => void
}

// The events of a transaction of 1.5 MB, the request limit of etcd, take 2 MB in base64. The limit leaves a margin for the JSON
// around them and for several transactions in one message.
const MAX_MESSAGE_CHARACTERS = 16 * 1024 * 1024

const CLOSE_REASONS = {
  idle: (timeoutMs: number) => `no message for ${timeoutMs} ms`,
  ended: 'the store ended the stream',
  tooLong: 'a message is over the size limit',
  malformed: (detail: string) => `malformed message: ${detail}`,
  status: (status: number) => `HTTP ${status}`,
  compacted: (revision: number) => `history before revision ${revision} is compacted`,
  cancelled: (reason: string) => `cancelled by the store: ${reason}`
} as const

/**
 * One `/v3/watch` stream. When it ends by itself, also by a timeout or an invalid message, it calls `onFailed` and then
 * `handler.onClosed`, once. After `close` it calls neither.
 */
export class EtcdWatch implements Watch {
  readonly #options: EtcdWatchOptions
  readonly #controller = new AbortController()
  #idleTimer: Timer | undefined
  #isEnded = false

  constructor (options: EtcdWatchOptions) {
    this.#options = options
  }

  start (): void {
    this.#restartIdleTimer()
    this.#readStream().catch((error: unknown) => this.#end(toHttpFailure(error).message))
  }

  close (): void {
    this.#isEnded = true
    this.#release()
  }

  async #readStream (): Promise<void> {
    const { dispatcher, origin, prefix, fromRevision } = this.#options
    const start = fromRevision > 0 ? { start_revision: String(fromRevision) } : {}
    const response = await dispatcher.request({
      origin,
      path: '/v3/watch',
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ create_request: { ...encodePrefix(prefix), ...start, progress_notify: true } }),
      signal: this.#controller.signal,
      headersTimeout: 0,
      bodyTimeout: 0
    })
    if (response.statusCode !== 200) {
      // Ending the watch aborts the request. Without a listener, the error that the unread body then emits would be uncaught.
      response.body.on('error', () => {})
      return this.#end(CLOSE_REASONS.status(response.statusCode))
    }
    const decoder = new TextDecoder()
    let text = ''
    for await (const chunk of response.body) {
      this.#restartIdleTimer()
      text += decoder.decode(chunk as Uint8Array, { stream: true })
      const lines = text.split('\n')
      text = lines.pop() ?? ''
      for (const line of lines) this.#handleLine(line)
      if (text.length > MAX_MESSAGE_CHARACTERS) return this.#end(CLOSE_REASONS.tooLong)
      if (this.#isEnded) return
    }
    this.#end(CLOSE_REASONS.ended)
  }

  #handleLine (line: string): void {
    if (this.#isEnded || line.trim() === '') return
    let message
    try {
      message = watchResponse.parse(JSON.parse(line))
    } catch (error) {
      return this.#end(CLOSE_REASONS.malformed(error instanceof Error ? error.message : String(error)))
    }
    if (message.error !== undefined) return this.#end(CLOSE_REASONS.cancelled(message.error.message))
    const result = message.result
    if (result === undefined) return
    if (result.compact_revision > 0) return this.#end(CLOSE_REASONS.compacted(result.compact_revision))
    if (result.canceled) return this.#end(CLOSE_REASONS.cancelled(result.cancel_reason))
    if (result.events.length > 0) this.#options.handler.onEvents(result.events.map(toWatchEvent), result.header.revision)
  }

  #restartIdleTimer (): void {
    this.#idleTimer?.cancel()
    const timeoutMs = this.#options.idleTimeoutMs
    if (!this.#isEnded) this.#idleTimer = this.#options.clock.startTimer(timeoutMs, () => this.#end(CLOSE_REASONS.idle(timeoutMs)))
  }

  #end (reason: string): void {
    if (this.#isEnded) return
    this.#isEnded = true
    this.#release()
    this.#options.onFailed()
    this.#options.handler.onClosed(reason)
  }

  #release (): void {
    this.#idleTimer?.cancel()
    this.#controller.abort()
  }
}
