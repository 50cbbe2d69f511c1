import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import type { KeyValueStore } from '@hibiscusledge/store/key-value-store.js'
import type { StoreError } from '@hibiscusledge/store/store-error.js'
import { createCharge } from './accounts/account-usage.js'
import { JOB_EVENTS } from './job-events.js'
import { PROGRESS_PREFIX, WORK_PREFIX } from './job-keys.js'
import { decodeJob } from './job-record.js'
import { JOB_STATES, type Job } from './job.js'
import type { JobProgress } from './job-progress.js'
import type { JobTable } from './job-table.js'
import { decodeProgress, type ProgressRecord } from './progress-record.js'
import type { StepProgress } from './step-progress.js'
import type { StepRecord } from './step-record.js'
import type { TaskSupervisor } from './task-supervisor.js'
import { computeReservedResources } from './capacity-tracker.js'
import { computeExpectedEndMs, RUN_PHASES, type TaskRun } from './task-run.js'
import { TURN_PARTS, type TurnMeter } from './turns/turn-meter.js'
import { splitWorkListing } from './work-listing.js'

/**
 * Jobs, and characters of their records, that are recovered before control returns to the event loop, so that lease renewals are sent
 * in time however many and large the jobs are.
 */
const JOBS_PER_BATCH = 20
const CHARACTERS_PER_BATCH = 128 * 1024
/** Upper bound of a job's computed age, since the clocks of instances may differ by seconds. */
const MAXIMUM_JOB_AGE_MS = 60_000

export interface RecoveryOptions {
  readonly clock: Clock
  readonly logger: EventLogger
  readonly turns: TurnMeter
  readonly store: KeyValueStore
  readonly table: JobTable
  readonly supervisor: TaskSupervisor
  /** Starts tracking a run that an earlier owner may have started. */
  readonly adoptRun: (run: TaskRun) => void
  /** Sends the stop order of a run that is tracked. */
  readonly requestStop: (run: TaskRun) => void
}

export interface Recovery {
  /** Revision at which accepted work was read; later changes must be watched. */
  readonly workRevision: number
  readonly cancelledIds: readonly string[]
  /** Jobs of which a cancellation is stored and no record any more. */
  readonly orphanedIds: readonly string[]
}

/** The records of a job as stored. */
interface StoredJob {
  readonly id: string
  readonly text: string
  readonly progressText: string | undefined
}

interface DecodedJob {
  readonly job: Job
  readonly record: ProgressRecord | undefined
  /** Length of the records. */
  readonly characters: number
}

/** Reads all stored jobs, cancellations and progress records for a new owner, and adopts the jobs and their runs. */
export async function recoverJobs (options: RecoveryOptions): Promise<Result<Recovery, StoreError>> {
  const { store, logger } = options
  const [progressListing, workListing] = await Promise.all([
    store.listPrefix(PROGRESS_PREFIX, 'critical'),
    store.listPrefix(WORK_PREFIX, 'critical')
  ])
  if (progressListing.err) return Err(progressListing.val)
  if (workListing.err) return Err(workListing.val)
  const records = new Map(progressListing.val.values.map((value) => [value.key.slice(PROGRESS_PREFIX.length), value.value]))
  const { jobs, cancelledIds } = splitWorkListing(workListing.val.values)
  const decoded: DecodedJob[] = []
  const stored = jobs.map(({ id, record }): StoredJob => ({ id, text: record, progressText: records.get(id) }))
  await applyInTurns(options, stored, countCharacters, (job) => { decoded.push(...decodeRecords(options, job)) })
  // The jobs of an account take its tokens in the order in which they were accepted.
  if (decoded.some(({ job }) => job.account !== undefined)) decoded.sort((left, right) => left.job.acceptedAtMs - right.job.acceptedAtMs)
  await applyInTurns(options, decoded, ({ characters }) => characters, (job) => adoptDecoded(options, job))
  logger.logInfo(JOB_EVENTS.recovered, { records: records.size, work: workListing.val.values.length, revision: workListing.val.revision })
  const listedIds = new Set(jobs.map(({ id }) => id))
  const orphanedIds = cancelledIds.filter((id) => !listedIds.has(id))
  return Ok({ workRevision: workListing.val.revision, cancelledIds, orphanedIds })
}

/** Applies an action to each item, a batch in each turn of the event loop. */
async function applyInTurns<Item> (
  { clock, turns }: RecoveryOptions, items: readonly Item[], readCharacters: (item: Item) => number, apply: (item: Item) => void
): Promise<void> {
  let batch: Item[] = []
  let characters = 0
  for (const item of items) {
    if (batch.length >= JOBS_PER_BATCH || characters >= CHARACTERS_PER_BATCH) {
      applyBatch()
      await waitForNextTurn(clock)
    }
    batch.push(item)
    characters += readCharacters(item)
  }
  applyBatch()

  function applyBatch (): void {
    turns.measure(TURN_PARTS.recovery, () => { batch.forEach(apply) })
    batch = []
    characters = 0
  }
}

function countCharacters ({ text, progressText = '' }: StoredJob): number {
  return text.length + progressText.length
}

async function waitForNextTurn (clock: Clock): Promise<void> {
  await new Promise<void>((resolve) => { clock.startTimer(0, resolve) })
}

/** Decodes the records of a job; returns nothing if the job is known or can't be recovered. */
function decodeRecords ({ table, logger, turns }: RecoveryOptions, stored: StoredJob): DecodedJob[] {
  const { id, text, progressText } = stored
  if (table.has(id)) return []
  const record = progressText === undefined ? undefined : decodeProgress(progressText)
  if (record?.err === true) {
    // Without its progress, the job would run again from the beginning.
    table.quarantine(id)
    logger.logError(JOB_EVENTS.recordMalformed, { jobId: id, message: record.val })
    return []
  }
  const job = decodeJob(text)
  if (job.ok) {
    turns.work.add(job.val.steps.length + (record?.val.steps.length ?? 0))
    return [{ job: job.val, record: record?.val, characters: countCharacters(stored) }]
  }
  logger.logError(JOB_EVENTS.recordMalformed, { jobId: id, message: job.val })
  return []
}

function adoptDecoded (options: RecoveryOptions, { job, record }: DecodedJob): void {
  const { clock, supervisor } = options
  const ageMs = Math.min(MAXIMUM_JOB_AGE_MS, Math.max(0, clock.readWallMs() - job.acceptedAtMs))
  const progress = supervisor.adoptJob(job, clock.readMonotonicMs() - ageMs)
  if (record !== undefined) applyProgress(options, progress, record)
}

function applyProgress (options: RecoveryOptions, progress: JobProgress, record: ProgressRecord): void {
  const { clock, turns, table, supervisor, adoptRun, requestStop } = options
  progress.restoreOccurrences(record.occurrences, record.completed)
  progress.hasStarted = record.state !== 'queued'
  for (const stepRecord of record.steps) {
    const step = progress.findStep(stepRecord.occurrence, stepRecord.step)
    if (step === undefined) continue
    step.gangFailures = stepRecord.gangFailures
    turns.work.add(countEntries(stepRecord))
    if (stepRecord.done === true) step.markAllDone()
    else for (const [first, last] of stepRecord.done) step.markRangeDone(first, last)
    for (const [index, failures] of stepRecord.failures) if (isRestorable(step, index)) step.ensureTask(index).failures = failures
    for (const [index, checkpoint] of stepRecord.checkpoints) if (isRestorable(step, index)) step.ensureTask(index).checkpoint = checkpoint
    for (const [index, number, targetId] of stepRecord.runs) {
      if (!step.hasTask(index)) continue
      const run: TaskRun = {
        task: { ...step.key, index },
        number,
        targetId,
        size: computeReservedResources(step.step.size, step.step.usesIdleCapacity),
        charge: createCharge(progress.job, step.step),
        phase: RUN_PHASES.unsettled,
        sentAtMs: Number.NEGATIVE_INFINITY,
        expectedEndMs: computeExpectedEndMs(step.step, clock.readMonotonicMs()),
        confirmedAt: undefined,
        isStopWanted: false,
        stopAcknowledgedAt: undefined,
        percent: 0,
        percentChangedAtMs: clock.readMonotonicMs()
      }
      const previous = step.replaceRun(index, run)
      if (previous !== undefined) requestStop(previous)
      adoptRun(run)
    }
  }
  if (record.state === JOB_STATES.failed) progress.hasFailed = true
  if (record.state === JOB_STATES.cancelled) progress.isCancelled = true
  // The record of a completed job contains only steps that still have runs.
  if (record.state === JOB_STATES.completed) progress.markAllDone()
  const nowMs = clock.readMonotonicMs()
  for (const occurrence of progress.listOpenOccurrences()) {
    progress.dropCompleted(occurrence)
    table.updateReady(progress, occurrence, nowMs)
  }
  supervisor.closeIfFinal(progress)
}

function countEntries ({ done, runs, failures, checkpoints }: StepRecord): number {
  return 1 + (done === true ? 1 : done.length) + runs.length + failures.length + checkpoints.length
}

/** Whether a recorded failure or checkpoint of a task still matters. */
function isRestorable (step: StepProgress, index: number): boolean {
  return step.hasTask(index) && !step.isDone(index)
}
