import { createWriteStream, type WriteStream } from 'node:fs'
import type { SpanLine, SpanLineWriter } from './span-line-writer.js'

/** Limits memory when the file system is slower than the spans arrive. */
const MAX_BUFFERED_BYTES = 1_048_576

/** Appends spans to a file. A file that can't be written drops spans and never stops the process. */
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
