export type LogFields = Readonly<Record<string, unknown>>

/** Structured log of named events with fields. Never pass a request body or a key as a field. */
export interface EventLogger {
  logInfo (event: string, fields?: LogFields): void
  logWarning (event: string, fields?: LogFields): void
  logError (event: string, fields?: LogFields): void
}

/** Discards all events. */
export class SilentEventLogger implements EventLogger {
  logInfo (): void {}
  logWarning (): void {}
  logError (): void {}
}
