import { z } from 'zod'
import { formatColumns } from './format-columns.js'

const recordSchema = z.looseObject({ time: z.number(), instance: z.string(), event: z.string() })

/** One line of an instance's log. */
export type LogRecord = z.infer<typeof recordSchema>

/** Events of the whole instance that explain why a job waited, was refused or changed hands. */
const CONTEXT_EVENTS: ReadonlySet<string> = new Set([
  'process.started', 'process.stopping', 'process.stopped', 'ownership.acquired', 'ownership.recovered', 'ownership.lost',
  'ownership.released', 'ownership.unconfirmed', 'ownership.ownerEnded', 'store.lost', 'store.regained'
])
/** How long before the first and after the last line of a job such events are shown. */
const CONTEXT_MS = 2_000
/** Fields that have a column or no meaning for the story. */
const HIDDEN_FIELDS: ReadonlySet<string> = new Set(['time', 'instance', 'event', 'level', 'jobId'])

/** Decodes a line; undefined when it holds no record. What another program has put before the record is left out. */
export function parseLogLine (line: string): LogRecord | undefined {
  try {
    const parsed = recordSchema.safeParse(JSON.parse(line.slice(line.indexOf('{'))))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}

/** Collects the records of one job, and those of the instances around them. */
export class LogStory {
  readonly #jobId: string
  readonly #records: LogRecord[] = []
  readonly #context: LogRecord[] = []

  constructor (jobId: string) {
    this.#jobId = jobId
  }

  add (record: LogRecord): void {
    if (this.#isAboutJob(record)) this.#records.push(record)
    else if (CONTEXT_EVENTS.has(record.event)) this.#context.push(record)
  }

  /** The story in order of time; empty when no record names the job. */
  listRecords (): readonly LogRecord[] {
    const times = this.#records.map(({ time }) => time)
    const firstMs = times.reduce((least, time) => Math.min(least, time), Infinity) - CONTEXT_MS
    const lastMs = times.reduce((greatest, time) => Math.max(greatest, time), -Infinity) + CONTEXT_MS
    const around = this.#context.filter(({ time }) => time >= firstMs && time <= lastMs)
    return [...this.#records, ...around].sort((left, right) => left.time - right.time)
  }

  #isAboutJob ({ jobId, step, task }: LogRecord): boolean {
    return jobId === this.#jobId || [step, task].some((name) => typeof name === 'string' && name.startsWith(`${this.#jobId}.`))
  }
}

/** Formats records with the milliseconds since the first of them. */
export function formatRecords (records: readonly LogRecord[]): readonly string[] {
  const startMs = records[0]?.time ?? 0
  return formatColumns(records.map((record) => [`+${Math.round(record.time - startMs)} ms`, record.instance, record.event, formatFields(record)]))
}

function formatFields (record: LogRecord): string {
  return Object.entries(record).filter(([name]) => !HIDDEN_FIELDS.has(name))
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join(' ')
}
