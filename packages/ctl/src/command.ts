import type { Readable } from 'node:stream'
import type { ExitCode } from './exit-codes.js'

/** What a command found out. */
export interface CommandReport {
  readonly exitCode: ExitCode
  /** Printed with `--json`. */
  readonly data: unknown
  /** Printed to the standard output without `--json`. */
  readonly lines: readonly string[]
  /** Printed to the standard error without `--json`. */
  readonly errorLines?: readonly string[]
}

export interface Command {
  execute (): Promise<CommandReport>
}

/** What commands use of the process, so that nothing else reads its environment or writes to it. */
export interface CommandEnvironment {
  readonly variables: Readonly<Record<string, string | undefined>>
  openInput (): Readable
  writeOutput (text: string): void
  writeError (text: string): void
}
