import { JOB_EVENTS } from '@hibiscusledge/jobs/job-events.js'
import { SilentEventLogger, type EventLogger, type LogFields } from '@hibiscusledge/runtime/event-logger.js'
import type { ModelJob } from './job-source.js'
import type { VirtualClock } from './virtual-clock.js'

/** When a job of the experiment was first placed and completed, in virtual time. */
export interface JobTimes {
  placedAtMs: number | undefined
  completedAtMs: number | undefined
  isAccepted: boolean
}

/** Records the times of the jobs from the events of the job service. */
export class TimeRecorder extends SilentEventLogger implements EventLogger {
  readonly times = new Map<string, JobTimes>()
  readonly #clock: VirtualClock

  constructor (clock: VirtualClock, jobs: readonly ModelJob[]) {
    super()
    this.#clock = clock
    for (const { job } of jobs) this.times.set(job.id, { placedAtMs: undefined, completedAtMs: undefined, isAccepted: false })
  }

  override logInfo (event?: string, fields?: LogFields): void {
    const times = this.times.get(String(fields?.['jobId']))
    if (times === undefined) return
    if (event === JOB_EVENTS.taskPlaced) times.placedAtMs ??= this.#clock.readMonotonicMs()
    if (event === JOB_EVENTS.jobEnded && fields?.['state'] === 'completed') times.completedAtMs ??= this.#clock.readMonotonicMs()
  }
}
