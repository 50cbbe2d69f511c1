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
/** Events of a target that explain why a run on it was noticed late or lost. */
const TARGET_EVENTS: ReadonlySet<string> = new Set([
  'target.lost', 'target.reached', 'target.suspected', 'target.leaseLapsed', 'target.restarted', 'target.removed'
])
/** How long before the first and after the last line of a job such events are shown. */
const CONTEXT_WINDOW_MS = 2_000
/** Fields that have a column or no meaning for the story. */
const OMITTED_FIELDS: ReadonlySet<string> = new Set(['time', 'instance', 'event', 'level', 'jobId'])

/** The runs of a placement: index of the task, number of the run, target. */
const placementSchema = z.object({ runs: z.array(z.tuple([z.number(), z.number(), z.string()])) })

/** Decodes a line; undefined when it holds no record. What another program has put before the record is left out. */
export function parseLogLine (line: string): LogRecord | undefined {
  try {
    const parsed = recordSchema.safeParse(JSON.parse(line.slice(line.indexOf('{'))))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}

/** Collects the records of one job, and those of the instances and of its targets around them. */
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

  /** The story in order of time; empty when no record names the job. */
  listRecords (): readonly LogRecord[] {
    const times = this.#records.map(({ time }) => time)
    const firstMs = times.reduce((least, time) => Math.min(least, time), Infinity) - CONTEXT_WINDOW_MS
    const lastMs = times.reduce((greatest, time) => Math.max(greatest, time), -Infinity) + CONTEXT_WINDOW_MS
    const targets = this.#collectTargets()
    const around = this.#contextRecords.filter(({ time, event, target }) => time >= firstMs && time <= lastMs &&
      (!TARGET_EVENTS.has(event) || (typeof target === 'string' && targets.has(target))))
    return [...this.#records, ...around].sort((left, right) => left.time - right.time)
  }

  /** Targets on which the job's tasks were placed. */
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

/** Formats records with the milliseconds since the first of them. */
export function formatLogRecords (records: readonly LogRecord[]): readonly string[] {
  const startMs = records[0]?.time ?? 0
  return formatColumns(records.map((record) => [`+${Math.round(record.time - startMs)} ms`, record.instance, record.event, formatFields(record)]))
}

function formatFields (record: LogRecord): string {
  return Object.entries(record).filter(([name]) => !OMITTED_FIELDS.has(name))
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join(' ')
}
