import type { Cell, CellInstance } from './cell.js'
import { sendJson } from './cell.js'
import type { PlannedFault } from './fault-plan.js'

export interface FaultLog {
  readonly leavingTargets: Array<{ readonly target: string, readonly atMs: number }>
  readonly plannedStops: Array<{ readonly instance: string, readonly startedAtMs: number, readonly exitCode: number | null }>
  readonly acceptedRevisions: Array<{ readonly revision: number, readonly atMs: number }>
  /** More than one operator's change was accepted from the same revision. */
  readonly lostUpdates: string[]
}

/** Carries the faults of a plan out on a cell, and ends each after its duration. */
export class FaultInjector {
  readonly log: FaultLog = { leavingTargets: [], plannedStops: [], acceptedRevisions: [], lostUpdates: [] }
  readonly #cell: Cell
  readonly #tables: { readonly routes: string, readonly pools: string }
  readonly #faultyInstances = new Set<string>()

  constructor (cell: Cell, texts: { readonly routes: string, readonly pools: string }) {
    this.#cell = cell
    this.#tables = texts
  }

  async runPlan (plan: readonly PlannedFault[]): Promise<void> {
    await Promise.all(plan.map(async (fault) => {
      await waitMs(fault.atMs)
      await this.#applyFault(fault)
    }))
  }

  async #applyFault (fault: PlannedFault): Promise<void> {
    const { kind, durationMs } = fault
    switch (kind) {
      case 'kill':
        await this.#applyToInstance(fault, async ({ process }) => {
          process.sendSignal('SIGKILL')
          await process.waitForExit()
          await this.#cell.startInstance()
        })
        break
      case 'pause':
        await this.#applyToInstance(fault, async ({ process }) => {
          process.sendSignal('SIGSTOP')
          await waitMs(durationMs)
          process.sendSignal('SIGCONT')
        })
        break
      case 'plannedStop':
        await this.#applyToInstance(fault, async (instance) => { await this.#stopInstance(instance) })
        break
      case 'muteLinks':
        await this.#applyToInstance(fault, async ({ peerRelay }) => { peerRelay.pauseConnections() })
        break
      case 'cutLinks':
        await this.#applyToInstance(fault, async ({ peerRelay }) => { await refuseConnections(peerRelay, durationMs) })
        break
      case 'cutStore':
        await this.#applyToInstance(fault, async ({ storeRelay }) => { await refuseConnections(storeRelay, durationMs) })
        break
      case 'storeDown':
        await this.#applyForDuration('store', { down: true }, { down: false }, durationMs)
        break
      case 'storeHang':
        await this.#applyForDuration('store', { hang: true }, { hang: false }, durationMs)
        break
      case 'storeSlow':
        await this.#applyForDuration('store', { slowMs: 400 }, { slowMs: 0 }, durationMs)
        break
      case 'storeLoseReplies':
        await this.#applyForDuration('store', { loseReplyFraction: 0.3, seed: fault.selector }, { loseReplyFraction: 0 }, durationMs)
        break
      case 'storeFlap':
        await this.#applyForDuration('store', { flap: { upMs: 500, downMs: 1500 } }, { flap: null }, durationMs)
        break
      case 'storeRates':
        await this.#applyForDuration('store', { rates: { writesPerSecond: 40, readsPerSecond: 100 } }, { rates: null }, durationMs)
        break
      case 'startInOutage':
        await this.#cell.setFaults('store', { down: true })
        await Promise.all([this.#cell.startInstance(), waitMs(durationMs)])
        await this.#cell.setFaults('store', { down: false })
        break
      case 'operatorRace':
        await this.#runOperatorRace()
        break
      case 'targetLeaving':
        await this.#markTargetLeaving(fault)
        break
      case 'executorSilence':
        await this.#cell.setFaults('executor', { silence: true })
        break
      case 'executorLoseAnswers':
        await this.#applyForDuration('executor', { loseAnswerFraction: 0.2, seed: fault.selector }, { loseAnswerFraction: 0 }, durationMs)
        break
      case 'executorFreeze':
        await this.#applyForDuration('executor', { freeze: 'all', target: `executor-${1 + fault.selector % 4}` }, { freeze: 'none' }, durationMs)
        break
      case 'workerLoseAnswers':
        await this.#applyForDuration('worker', { loseAnswerFraction: 0.2, seed: fault.selector }, { loseAnswerFraction: 0 }, durationMs)
        break
      case 'workerFailAll':
        await this.#applyForDuration('worker', { failAll: true, target: `worker-${1 + fault.selector % 4}` }, { failAll: false }, durationMs)
        break
    }
  }

  /** Applies a fault to an instance that no other fault holds; with none left the fault is passed over. */
  async #applyToInstance (fault: PlannedFault, apply: (instance: CellInstance) => Promise<void>): Promise<void> {
    const free = this.#cell.instances.filter((instance) => instance.process.isRunning() && !this.#faultyInstances.has(instance.id))
    // Two instances always stay whole, as the platform's balancer needs somewhere to send callers.
    const instance = free.length > 2 ? free[fault.selector % free.length] : undefined
    if (instance === undefined) return
    this.#faultyInstances.add(instance.id)
    await apply(instance)
    this.#faultyInstances.delete(instance.id)
  }

  async #stopInstance ({ id, process }: CellInstance): Promise<void> {
    const startedAtMs = Date.now()
    await this.#cell.startInstance()
    process.sendSignal('SIGTERM')
    this.log.plannedStops.push({ instance: id, startedAtMs, exitCode: await process.waitForExit() })
  }

  async #applyForDuration (name: string, begin: unknown, end: unknown, durationMs: number): Promise<void> {
    await this.#cell.setFaults(name, begin)
    await waitMs(durationMs)
    await this.#cell.setFaults(name, end)
  }

  async #markTargetLeaving (fault: PlannedFault): Promise<void> {
    const target = `${fault.selector % 2 === 0 ? 'executor' : 'worker'}-${1 + Math.floor(fault.selector / 2) % 4}`
    await this.#cell.setTargetState(target, 'leaving')
    this.log.leavingTargets.push({ target, atMs: Date.now() })
  }

  /** Two operators change the tables from the same revision at two instances. */
  async #runOperatorRace (): Promise<void> {
    const instances = this.#cell.instances.filter(({ process, id }) => process.isRunning() && !this.#faultyInstances.has(id))
    const [first, second] = instances
    if (first === undefined || second === undefined) return
    const expectedRevision = Math.max(...this.log.acceptedRevisions.map(({ revision }) => revision))
    const answers = await Promise.all([first, second].map(async ({ origin }, index) => {
      const body = { routes: `${this.#tables.routes}# edit ${index}\n`, pools: this.#tables.pools, expectedRevision, author: `operator-${index}` }
      return await sendJson('PUT', `${origin}/v1/tables`, JSON.stringify(body))
    }))
    const accepted = answers.filter((answer) => answer?.status === 200)
    for (const answer of accepted) {
      this.log.acceptedRevisions.push({ revision: (answer?.body as { revision: number }).revision, atMs: Date.now() })
    }
    if (accepted.length > 1) this.log.lostUpdates.push(`both changes from revision ${expectedRevision} were accepted`)
  }
}

async function refuseConnections (relay: CellInstance['peerRelay'], durationMs: number): Promise<void> {
  relay.setMode('refused')
  await waitMs(durationMs)
  relay.setMode('open')
}

async function waitMs (durationMs: number): Promise<void> {
  await new Promise<void>((resolve) => { setTimeout(resolve, durationMs) })
}
