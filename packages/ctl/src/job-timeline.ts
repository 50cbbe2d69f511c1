import { z } from 'zod'
import { formatColumns } from './format-columns.js'

const recordSchema = z.looseObject({ time: z.number(), instance: z.string(), event: z.string() })

/** One record of an instance's log. `time` is in milliseconds since the epoch. */
export type LogRecord = z.infer<typeof recordSchema>

/** Events of an instance that explain why a job waited, was refused or moved to another owner. */
const CONTEXT_EVENTS: ReadonlySet<string> = new Set([
  'process.started', 'process.stopping', 'process.stopped', 'ownership.acquired', 'ownership.recovered', 'ownership.lost',
  'ownership.released', 'ownership.unconfirmed', 'ownership.ownerEnded', 'store.lost', 'store.regained'
])
/** Events of a target that explain why a run on it was lost or its end was recorded late. */
const TARGET_EVENTS: ReadonlySet<string> = new Set([
  'target.lost', 'target.reached', 'target.suspected', 'target.leaseLapsed', 'target.restarted',
  'target.restartSuspected', 'target.listingDiffers', 'target.removed'
])
/** Such events are included from this long before the first record of the job to this long after the last one. */
const CONTEXT_WINDOW_MS = 2_000
/** Fields that have a column of their own or do not help to explain the job. */
const OMITTED_FIELDS: ReadonlySet<string> = new Set(['time', 'instance', 'event', 'level', 'jobId'])

/** The runs of a placement: task index, run number, target. */
const placementSchema = z.object({ runs: z.array(z.tuple([z.number(), z.number(), z.string()])) })

/** Decodes a log line and ignores a prefix that another program added. Returns undefined when the line holds no record. */
export function parseLogLine (line: string): LogRecord | undefined {
  try {
    const parsed = recordSchema.safeParse(JSON.parse(line.slice(line.indexOf('{'))))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}

/** Collects the records of one job, with the events of instances and of its targets around them. */
export class JobTimeline {
  readonly #jobId: string
  readonly #records: LogRecord[] = []
  readonly #contextRecords: LogRecord[] = []

  constructor (jobId: string) {
    this.#jobId = jobId
  }

  add (record: LogRecord): void {
    if (this.#isAboutJob(record)) this.#records.push(record)
    else if (CONTEXT_EVENTS.has(record.event) || TARGET_EVENTS.has(record.event)) this.#contextRecords.push(record)
  }

  /** Returns the records in order of time. Empty when no record names the job. */
  listRecords (): readonly LogRecord[] {
    const times = this.#records.map(({ time }) => time)
    const firstMs = times.reduce((first, time) => Math.min(first, time), Infinity) - CONTEXT_WINDOW_MS
    const lastMs = times.reduce((last, time) => Math.max(last, time), -Infinity) + CONTEXT_WINDOW_MS
    const targets = this.#collectTargets()
    const context = this.#contextRecords.filter(({ time, event, target }) => time >= firstMs && time <= lastMs &&
      (!TARGET_EVENTS.has(event) || (typeof target === 'string' && targets.has(target))))
    return [...this.#records, ...context].sort((left, right) => left.time - right.time)
  }

  /** Returns the targets on which the job's tasks were placed. */
  #collectTargets (): ReadonlySet<string> {
    return new Set(this.#records.flatMap((record) => {
      const placement = placementSchema.safeParse(record)
      return placement.success ? placement.data.runs.map(([, , target]) => target) : []
    }))
  }

  #isAboutJob ({ jobId, step, task }: LogRecord): boolean {
    return jobId === this.#jobId || [step, task].some((name) => typeof name === 'string' && name.startsWith(`${this.#jobId}.`))
  }
}

/** Formats records with their time in milliseconds since the first one. */
export function formatLogRecords (records: readonly LogRecord[]): readonly string[] {
  const startMs = records[0]?.time ?? 0
  return formatColumns(records.map((record) => [`+${Math.round(record.time - startMs)} ms`, record.instance, record.event, formatFields(record)]))
}

function formatFields (record: LogRecord): string {
  return Object.entries(record).filter(([name]) => !OMITTED_FIELDS.has(name))
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join(' ')
}
