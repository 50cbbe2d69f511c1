/** Exit codes of the process `hibiscusledge`. */
export const EXIT_CODES = {
  /** Planned stop after a drain, `--help` or valid settings with `--check-settings`. */
  ok: 0,
  /** A second SIGTERM ended the drain. */
  terminatedAtOnce: 1,
  settingsInvalid: 2,
  /** The instance couldn't start, for example because a port is in use (EX_UNAVAILABLE of sysexits.h). */
  startFailed: 69,
  /** An uncaught exception: an unknown state must not send work (EX_SOFTWARE of sysexits.h). */
  internalFault: 70
} as const
export type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES]
