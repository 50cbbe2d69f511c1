import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import type { Readable } from 'node:stream'
import type { Finding } from '@hibiscusledge/runtime/finding.js'
import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import type { Command, CommandEnvironment, CommandReport } from './command.js'
import { REPORT_TEXTS, USAGE_FINDINGS } from './ctl-messages.js'
import { EXIT_CODES } from './exit-codes.js'
import { formatLogRecords, JobTimeline, parseLogLine } from './job-timeline.js'
import { createUsageReport } from './reports.js'

/** `logs explain JOB-ID [FILE...]`: shows the log records of all instances that concern a job. */
export class LogsExplainCommand implements Command {
  readonly #jobId: string
  readonly #paths: readonly string[]
  readonly #environment: CommandEnvironment
  #skippedLineCount = 0

  constructor (jobId: string, paths: readonly string[], environment: CommandEnvironment) {
    this.#jobId = jobId
    this.#paths = paths
    this.#environment = environment
  }

  async execute (): Promise<CommandReport> {
    const timeline = new JobTimeline(this.#jobId)
    const findings: Finding[] = []
    if (this.#paths.length === 0) await this.#addLines(timeline, this.#environment.openInput())
    for (const path of this.#paths) {
      const result = await this.#addFile(timeline, path)
      if (result.err) findings.push(result.val)
    }
    if (findings.length > 0) return createUsageReport(findings)
    const records = timeline.listRecords()
    const errorLines = this.#skippedLineCount === 0 ? [] : [REPORT_TEXTS.linesSkipped(this.#skippedLineCount)]
    const data = { records, unreadLines: this.#skippedLineCount }
    if (records.length > 0) return { exitCode: EXIT_CODES.success, data, lines: formatLogRecords(records), errorLines }
    return { exitCode: EXIT_CODES.negative, data, lines: [REPORT_TEXTS.jobNotLogged(this.#jobId)], errorLines }
  }

  async #addFile (timeline: JobTimeline, path: string): Promise<Result<void, Finding>> {
    try {
      await this.#addLines(timeline, createReadStream(path))
      return Ok.EMPTY
    } catch (error) {
      return new Err(USAGE_FINDINGS.unreadableFile(path, String((error as { code?: unknown }).code)))
    }
  }

  async #addLines (timeline: JobTimeline, input: Readable): Promise<void> {
    // The line reader does not report errors of its input, so they are awaited separately.
    const failed = new Promise<never>((_resolve, reject) => { input.once('error', reject) })
    const read = (async (): Promise<void> => {
      for await (const line of createInterface({ input, crlfDelay: Infinity })) this.#addLine(timeline, line)
    })()
    await Promise.race([read, failed])
  }

  #addLine (timeline: JobTimeline, line: string): void {
    const record = parseLogLine(line)
    if (record !== undefined) timeline.add(record)
    else if (line.trim() !== '') this.#skippedLineCount++
  }
}
