import { createWriteStream, type WriteStream } from 'node:fs'
import type { SpanLine, SpanLineWriter } from './span-line-writer.js'

/** Limits memory use when spans arrive faster than the file system writes them. */
const MAX_BUFFERED_BYTES = 1_048_576

/** Appends spans to a file. When the file can't be written, spans are dropped and the process goes on. */
export class FileSpanLineWriter implements SpanLineWriter {
  readonly #stream: WriteStream
  #hasFailed = false

  constructor (path: string, onError: (error: Error) => void) {
    this.#stream = createWriteStream(path, { flags: 'a' })
    this.#stream.on('error', (error) => {
      this.#hasFailed = true
      onError(error)
    })
  }

  writeSpan (line: SpanLine): boolean {
    if (this.#hasFailed || this.#stream.writableLength > MAX_BUFFERED_BYTES) return false
    this.#stream.write(`${JSON.stringify(line)}\n`)
    return true
  }

  async close (): Promise<void> {
    if (this.#hasFailed) return
    await new Promise<void>((resolve) => {
      this.#stream.once('error', () => resolve())
      this.#stream.end(() => resolve())
    })
  }
}
