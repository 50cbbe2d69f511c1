import type { Readable } from 'node:stream'
import type { ExitCode } from './exit-codes.js'

/** The result of a command. */
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

/** The parts of the process that commands use. No other code reads its environment or writes to its streams. */
export interface CommandEnvironment {
  readonly variables: Readonly<Record<string, string | undefined>>
  openInput (): Readable
  writeOutput (text: string): void
  writeError (text: string): void
}
