import type { EventLogger, LogFields } from '@hibiscusledge/runtime/event-logger.js'
import { pino, stdSerializers, stdTimeFunctions, type DestinationStream, type Logger } from 'pino'

// Removed in case a caller passes a body or a key by mistake: logs are kept longer and read by more people than requests.
const REDACTED_FIELDS = ['payload', 'body', 'result', 'key', 'idempotencyKey']

/** Writes each event as one line of JSON. */
export class PinoEventLogger implements EventLogger {
  readonly #logger: Logger

  constructor (destination: DestinationStream, level: string, fields: LogFields) {
    this.#logger = pino({
      level,
      base: { ...fields },
      messageKey: 'event',
      timestamp: stdTimeFunctions.isoTime,
      formatters: { level: (label) => ({ level: label }) },
      serializers: { error: stdSerializers.err },
      redact: { paths: REDACTED_FIELDS, remove: true }
    }, destination)
  }

  logInfo (event: string, fields: LogFields = {}): void {
    this.#logger.info(fields, event)
  }

  logWarning (event: string, fields: LogFields = {}): void {
    this.#logger.warn(fields, event)
  }

  logError (event: string, fields: LogFields = {}): void {
    this.#logger.error(fields, event)
  }
}
