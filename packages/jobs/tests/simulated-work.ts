import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import type { RunOutcome } from '../src/task-run.js'

/** Time for which a member of a gang waits for the others. */
const GANG_WAIT_MS = 2_000

/** What a run does between its start and its end. */
export interface Work {
  /** Keeps the work from ending by itself, as its run is being stopped. */
  suspend (): void
  /** Ends the work together with its run. */
  end (): void
}

/** Work that takes a fixed time; infinite for a task that runs until it is stopped. */
export class SingleWork implements Work {
  readonly #timer: Timer | undefined

  constructor (clock: Clock, durationMs: number, onEnded: (outcome: RunOutcome) => void) {
    if (Number.isFinite(durationMs)) this.#timer = clock.startTimer(durationMs, () => onEnded('done'))
  }

  suspend (): void {
    this.#timer?.cancel()
  }

  end (): void {
    this.#timer?.cancel()
  }
}

/** The members of one run of a gang: they work only together, and end together. */
export class SimulatedGang {
  readonly #clock: Clock
  readonly #size: number
  readonly #durationMs: number
  readonly #members = new Set<GangWork>()
  #timer: Timer | undefined
  #isBroken = false

  constructor (clock: Clock, size: number, durationMs: number) {
    this.#clock = clock
    this.#size = size
    this.#durationMs = durationMs
  }

  join (onEnded: (outcome: RunOutcome) => void): Work {
    const waitTimer = this.#clock.startTimer(GANG_WAIT_MS, () => { if (this.#timer === undefined) onEnded('alone') })
    const member = new GangWork(this, waitTimer, onEnded)
    this.#members.add(member)
    if (this.#members.size === this.#size && !this.#isBroken) {
      this.#timer = this.#clock.startTimer(this.#durationMs, () => this.#endMembers('done'))
    }
    return member
  }

  suspend (): void {
    this.#isBroken = true
    this.#timer?.cancel()
  }

  /** Ends all members when one of them has ended. */
  leave (member: GangWork): void {
    if (!this.#members.delete(member) || this.#timer === undefined) return
    this.suspend()
    this.#endMembers('broken')
  }

  #endMembers (outcome: RunOutcome): void {
    const members = [...this.#members]
    this.#members.clear()
    for (const { onEnded } of members) onEnded(outcome)
  }
}

class GangWork implements Work {
  readonly onEnded: (outcome: RunOutcome) => void
  readonly #gang: SimulatedGang
  readonly #waitTimer: Timer

  constructor (gang: SimulatedGang, waitTimer: Timer, onEnded: (outcome: RunOutcome) => void) {
    this.#gang = gang
    this.#waitTimer = waitTimer
    this.onEnded = onEnded
  }

  suspend (): void {
    this.#waitTimer.cancel()
    this.#gang.suspend()
  }

  end (): void {
    this.#waitTimer.cancel()
    this.#gang.leave(this)
  }
}
