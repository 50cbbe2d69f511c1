import type { HostPort } from './parse-address.js'

/** Bounds and default of `--timeout-ms`. The default lets an instance resolve a lost reply of the store (about 5 s) and answer. */
export const TIMEOUT_MS = { default: 15_000, minimum: 1, maximum: 600_000 } as const

export const DEFAULT_ADDRESS = '127.0.0.1:8080'

/** The limit of the API on an author's name. */
export const MAX_AUTHOR_LENGTH = 128

/** The checked options of one invocation. */
export interface CtlSettings {
  readonly isJson: boolean
  readonly address: HostPort
  readonly timeoutMs: number
  readonly author: string
  /** Undefined reads the current revision first. */
  readonly expectedRevision: number | undefined
}
