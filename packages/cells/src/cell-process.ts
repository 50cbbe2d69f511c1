import { spawn, type ChildProcess } from 'node:child_process'
import { createWriteStream, type WriteStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { waitUntil } from './wait-until.js'

export interface CellProcessOptions {
  readonly name: string
  /** Path of the compiled main file. */
  readonly mainFile: string
  readonly flags: readonly string[]
  /** Receives standard output and standard error. */
  readonly logFile: string
}

const EXIT_TIMEOUT_MS = 90_000

/** One child process of a cell. */
export class CellProcess {
  readonly name: string
  readonly #child: ChildProcess
  readonly #log: WriteStream
  readonly #firstLine: Promise<string>
  #exitCode: number | null | undefined

  constructor ({ name, mainFile, flags, logFile }: CellProcessOptions) {
    this.name = name
    this.#log = createWriteStream(logFile, { flags: 'a' })
    this.#child = spawn(process.execPath, [mainFile, ...flags], { stdio: ['ignore', 'pipe', 'pipe'] })
    this.#child.stdout?.pipe(this.#log, { end: false })
    this.#child.stderr?.pipe(this.#log, { end: false })
    this.#child.once('exit', (code) => { this.#exitCode = code })
    const lines = createInterface({ input: this.#child.stdout ?? process.stdin })
    this.#firstLine = new Promise((resolve, reject) => {
      lines.once('line', resolve)
      lines.once('close', () => { reject(new Error(`${name} closed its output before it printed a line; see ${logFile}`)) })
    })
    this.#firstLine.catch(() => {})
  }

  get pid (): number {
    return this.#child.pid ?? 0
  }

  /** Resolves to the first line that the process prints; a stand-in prints its addresses as JSON. */
  waitForFirstLine (): Promise<string> {
    return this.#firstLine
  }

  sendSignal (signal: NodeJS.Signals): void {
    this.#child.kill(signal)
  }

  isRunning (): boolean {
    return this.#exitCode === undefined
  }

  /** Returns the exit code, or null when a signal ended the process. */
  async waitForExit (): Promise<number | null> {
    await waitUntil(() => !this.isRunning(), EXIT_TIMEOUT_MS, `${this.name} to exit`)
    return this.#exitCode ?? null
  }

  /** Kills the process, even if it is paused by SIGSTOP, and waits for its exit. */
  async kill (): Promise<void> {
    if (this.isRunning()) {
      this.#child.kill('SIGCONT')
      this.#child.kill('SIGKILL')
      await this.waitForExit()
    }
    this.#log.end()
  }
}
