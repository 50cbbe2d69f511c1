import type { HostPort } from './parse-address.js'

/**
 * Bounds and default of `--timeout-ms`. An instance needs about 5 s to find out what became of a write whose response from
 * the store was lost; the default leaves time for that and for the instance's response.
 */
export const TIMEOUT_MS = { default: 15_000, minimum: 1, maximum: 600_000 } as const

export const DEFAULT_ADDRESS = '127.0.0.1:8080'

/** Longest author name that the API accepts, in characters. */
export const MAX_AUTHOR_LENGTH = 128

/** The validated options of one invocation. */
export interface CtlSettings {
  readonly isJson: boolean
  readonly address: HostPort
  readonly timeoutMs: number
  readonly author: string
  /** When undefined, the command reads the current revision first. */
  readonly expectedRevision: number | undefined
}
