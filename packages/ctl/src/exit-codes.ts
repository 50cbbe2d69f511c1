/** Exit codes of `hibiscusledgectl`. */
export const EXIT_CODES = {
  success: 0,
  /** The result is negative: findings, a conflict, or a request that is not completed. */
  negative: 1,
  /** The command line, a setting or a file is invalid. */
  usage: 2,
  /** The instance is unreachable, or the result is unknown. */
  unknown: 3
} as const
export type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES]
