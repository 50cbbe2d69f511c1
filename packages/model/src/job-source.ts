import type { AdvicePolicy, Job, JobStep } from '@hibiscusledge/jobs/job.js'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import { ACCOUNT_NAMES, type JobKind, type LoadPattern, type Spread } from './load-pattern.js'

const SERVICE = 'ledger'
/** Number of targets in the call to the policy service that an objective allows for each step. */
const ADVISED_TARGETS_IN_OBJECTIVE = 30

/** A job of an experiment, with what its caller doesn't know. */
export interface ModelJob {
  readonly job: Job
  readonly kind: JobKind
  readonly arrivesAtMs: number
  /** Actual duration of a task of each step on a target of average speed. */
  readonly durationsMs: readonly number[]
  /** Time from its arrival within which the job is completed in time. */
  readonly objectiveMs: number
}

/** Draws the jobs of a pattern in order of arrival. The same seed gives the same jobs. */
export function drawJobs (pattern: LoadPattern, targetCount: number, loadMs: number, random: RandomSource): ModelJob[] {
  const jobs: ModelJob[] = []
  for (const kind of pattern.kinds) {
    const factors = pattern.bursts.filter((burst) => burst.kind === kind.name)
    const highest = Math.max(1, ...factors.map(({ factor }) => factor))
    const rateMs = kind.ratePerTarget * targetCount * highest / 1_000
    for (let atMs = drawInterval(rateMs, random); atMs < loadMs; atMs += drawInterval(rateMs, random)) {
      const burst = factors.find(({ fromMs, durationMs }) => atMs >= fromMs && atMs < fromMs + durationMs)
      // Thinning of a process with the highest rate.
      if (random.drawFraction() >= (burst?.factor ?? 1) / highest) continue
      jobs.push(drawJob(kind, `${kind.name}-${jobs.length}`, ACCOUNT_NAMES[jobs.length % ACCOUNT_NAMES.length], atMs, random))
    }
  }
  jobs.push(...drawAccountBurst(pattern, targetCount, random))
  return jobs.sort((left, right) => left.arrivesAtMs - right.arrivesAtMs)
}

/** Draws the jobs that an account submits in its burst beyond its usual ones. */
function drawAccountBurst ({ kinds, accountBurst }: LoadPattern, targetCount: number, random: RandomSource): ModelJob[] {
  if (accountBurst === undefined) return []
  const { account, factor, fromMs, durationMs } = accountBurst
  return kinds.flatMap((kind) => {
    const jobs: ModelJob[] = []
    const rateMs = kind.ratePerTarget * targetCount / ACCOUNT_NAMES.length * (factor - 1) / 1_000
    for (let atMs = fromMs + drawInterval(rateMs, random); atMs < fromMs + durationMs; atMs += drawInterval(rateMs, random)) {
      jobs.push(drawJob(kind, `${kind.name}-burst-${jobs.length}`, account, atMs, random))
    }
    return jobs
  })
}

function drawJob (kind: JobKind, name: string, account: string | undefined, arrivesAtMs: number, random: RandomSource): ModelJob {
  const stepCount = Math.max(1, Math.round(drawValue(kind.steps, random)))
  const durationsMs = Array.from({ length: stepCount }, () => drawValue(kind.durationMs, random))
  const steps = durationsMs.map((durationMs, index) => drawStep(kind, durationMs, index, random))
  const { advice, stretch, targetDurationMs } = kind
  const adviceMs = advice === undefined ? 0 : advice.decisionMs + advice.perTargetMs * ADVISED_TARGETS_IN_OBJECTIVE
  const chainMs = durationsMs.reduce((sum, durationMs) => sum + durationMs + adviceMs, 0)
  const job: Job = {
    id: name,
    terms: {
      queue: kind.name,
      service: SERVICE,
      priority: kind.priority,
      maximumAttempts: 4,
      stretch,
      targetDurationMs,
      advice: advice === undefined ? undefined : createAdvicePolicy(advice)
    },
    account,
    specification: '',
    steps,
    acceptedAtMs: 0
  }
  return { job, kind, arrivesAtMs, durationsMs, objectiveMs: stretch * chainMs + targetDurationMs }
}

function createAdvicePolicy ({ decisionMs, perTargetMs, validityMs }: AdvicePolicy): AdvicePolicy {
  return { decisionMs, perTargetMs, validityMs }
}

function drawStep (kind: JobKind, durationMs: number, index: number, random: RandomSource): JobStep {
  const estimateFactor = kind.estimateFactor ** (random.drawFraction() * 2 - 1)
  return {
    taskCount: Math.max(1, Math.round(drawValue(kind.tasks, random))),
    size: {
      cpuMillis: Math.round(drawValue(kind.cpuMillis, random)),
      memoryMb: Math.round(drawValue(kind.memoryMb, random)),
      accelerators: 0
    },
    estimatedMs: Math.round(durationMs * estimateFactor),
    after: index === 0 ? [] : [index - 1],
    isCheckpointing: false,
    isGang: random.drawFraction() < kind.gangShare,
    prefersOneRack: false,
    maximumPerTarget: 0,
    allowsCopies: false,
    isLongRunning: false,
    usesIdleCapacity: false
  }
}

function drawInterval (ratePerMs: number, random: RandomSource): number {
  return -Math.log(1 - random.drawFraction()) / ratePerMs
}

function drawValue ({ mean, sigma, maximum }: Spread, random: RandomSource): number {
  // Box-Muller transform.
  const radius = Math.sqrt(-2 * Math.log(1 - random.drawFraction()))
  const normal = radius * Math.cos(2 * Math.PI * random.drawFraction())
  return Math.min(maximum, mean * Math.exp(sigma * normal - sigma * sigma / 2))
}
