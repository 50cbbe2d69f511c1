/** Exit codes of the program `hibiscusledge`. */
export const EXIT_CODES = {
  /** Planned stop after a drain, `--help`, or `--check-settings` with valid settings. */
  ok: 0,
  /** A second SIGTERM or SIGINT cut the drain short. */
  terminatedAtOnce: 1,
  settingsInvalid: 2,
  /** The instance failed to start, for example because a port is in use (EX_UNAVAILABLE of sysexits.h). */
  startFailed: 69,
  /** Uncaught error: an instance in an unknown state must not send work (EX_SOFTWARE of sysexits.h). */
  internalFault: 70
} as const
export type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES]
