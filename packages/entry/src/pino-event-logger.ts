import type { EventLogger, LogFields } from '@hibiscusledge/runtime/event-logger.js'
import { pino, stdSerializers, stdTimeFunctions, type DestinationStream, type Logger } from 'pino'

// Removed in case such a field is logged by mistake: logs are kept longer than requests and read by more people.
const REDACTED_FIELDS = ['payload', 'body', 'result', 'key', 'idempotencyKey']

/** Writes log events as JSON lines. */
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
