export type LogFields = Readonly<Record<string, unknown>>

/** Structured log: one event name, with fields. Never pass a body or a key as a field. */
export interface EventLogger {
  logInfo (event: string, fields?: LogFields): void
  logWarning (event: string, fields?: LogFields): void
  logError (event: string, fields?: LogFields): void
}

/** Drops every event. */
export class SilentEventLogger implements EventLogger {
  logInfo (): void {}
  logWarning (): void {}
  logError (): void {}
}
