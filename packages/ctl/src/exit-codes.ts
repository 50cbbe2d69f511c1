/** Exit codes of `hibiscusledgectl`. */
export const EXIT_CODES = {
  success: 0,
  /** The answer is negative: findings, a conflict, a request that is not completed. */
  negative: 1,
  /** Wrong usage or settings, unreadable files included. */
  usage: 2,
  /** The instance can't be reached or the answer is unknown. */
  unknown: 3
} as const
export type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES]
