import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { LOG_EVENTS } from './log-events.js'
import type { SpanLine, SpanLineWriter } from './span-line-writer.js'

/** Writes spans as log events, for instances without a file system to write to. */
export class LogSpanLineWriter implements SpanLineWriter {
  readonly #logger: EventLogger

  constructor (logger: EventLogger) {
    this.#logger = logger
  }

  writeSpan (line: SpanLine): boolean {
    this.#logger.logInfo(LOG_EVENTS.span, { ...line })
    return true
  }

  async close (): Promise<void> {}
}
