import type { Cell, CellInstance } from './cell.js'
import { sendJson } from './cell.js'
import type { CellFault } from './fault-plan.js'

export interface FaultLog {
  readonly leavingTargets: Array<{ readonly target: string, readonly atMs: number }>
  readonly plannedStops: Array<{ readonly instance: string, readonly startedAtMs: number, readonly exitCode: number | null }>
  readonly acceptedRevisions: Array<{ readonly revision: number, readonly atMs: number }>
  /** One description each time that more than one change from the same revision was accepted. */
  readonly lostUpdates: string[]
}

/** Applies the faults of a plan to a cell and ends those that last after their duration. */
export class FaultInjector {
  readonly log: FaultLog = { leavingTargets: [], plannedStops: [], acceptedRevisions: [], lostUpdates: [] }
  readonly #cell: Cell
  readonly #tables: { readonly routes: string, readonly pools: string }
  readonly #faultyInstances = new Set<string>()

  constructor (cell: Cell, tables: { readonly routes: string, readonly pools: string }) {
    this.#cell = cell
    this.#tables = tables
  }

  /** Applies every fault at its time; resolves when those that last have ended. */
  async runPlan (plan: readonly CellFault[]): Promise<void> {
    await Promise.all(plan.map(async (fault) => {
      await waitMs(fault.atMs)
      await this.#applyFault(fault)
    }))
  }

  async #applyFault (fault: CellFault): Promise<void> {
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
        await this.#applyToInstance(fault, async ({ peerProxy }) => { peerProxy.pauseConnections() })
        break
      case 'cutLinks':
        await this.#applyToInstance(fault, async ({ peerProxy }) => { await refuseConnections(peerProxy, durationMs) })
        break
      case 'cutStore':
        await this.#applyToInstance(fault, async ({ storeProxy }) => { await refuseConnections(storeProxy, durationMs) })
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

  /** Applies a fault to an instance that has no other fault, or skips it if too few such instances are left. */
  async #applyToInstance (fault: CellFault, apply: (instance: CellInstance) => Promise<void>): Promise<void> {
    const free = this.#cell.instances.filter((instance) => instance.process.isRunning() && !this.#faultyInstances.has(instance.id))
    // Two instances always stay free of faults, as the platform's load balancer needs instances to send callers to.
    const instance = free.length > 2 ? free[fault.selector % free.length] : undefined
    if (instance === undefined) return
    this.#faultyInstances.add(instance.id)
    await apply(instance)
    this.#faultyInstances.delete(instance.id)
  }

  /** Starts a replacement, then stops the instance as a rolling update does. */
  async #stopInstance ({ id, process }: CellInstance): Promise<void> {
    const startedAtMs = Date.now()
    await this.#cell.startInstance()
    process.sendSignal('SIGTERM')
    this.log.plannedStops.push({ instance: id, startedAtMs, exitCode: await process.waitForExit() })
  }

  async #applyForDuration (name: string, faults: unknown, noFaults: unknown, durationMs: number): Promise<void> {
    await this.#cell.setFaults(name, faults)
    await waitMs(durationMs)
    await this.#cell.setFaults(name, noFaults)
  }

  async #markTargetLeaving (fault: CellFault): Promise<void> {
    const target = `${fault.selector % 2 === 0 ? 'executor' : 'worker'}-${1 + Math.floor(fault.selector / 2) % 4}`
    await this.#cell.setTargetState(target, 'leaving')
    this.log.leavingTargets.push({ target, atMs: Date.now() })
  }

  /** Submits two changes of the tables from the same revision at the same time, each through another instance. */
  async #runOperatorRace (): Promise<void> {
    const instances = this.#cell.instances.filter(({ process, id }) => process.isRunning() && !this.#faultyInstances.has(id))
    const [first, second] = instances
    if (first === undefined || second === undefined) return
    const expectedRevision = Math.max(...this.log.acceptedRevisions.map(({ revision }) => revision))
    const responses = await Promise.all([first, second].map(async ({ origin }, index) => {
      const body = { routes: `${this.#tables.routes}# edit ${index}\n`, pools: this.#tables.pools, expectedRevision, author: `operator-${index}` }
      return await sendJson('PUT', `${origin}/v1/tables`, JSON.stringify(body))
    }))
    const accepted = responses.filter((response) => response?.status === 200)
    for (const response of accepted) {
      this.log.acceptedRevisions.push({ revision: (response?.body as { revision: number }).revision, atMs: Date.now() })
    }
    if (accepted.length > 1) this.log.lostUpdates.push(`both changes from revision ${expectedRevision} were accepted`)
  }
}

async function refuseConnections (proxy: CellInstance['peerProxy'], durationMs: number): Promise<void> {
  proxy.setMode('refused')
  await waitMs(durationMs)
  proxy.setMode('open')
}

async function waitMs (durationMs: number): Promise<void> {
  await new Promise<void>((resolve) => { setTimeout(resolve, durationMs) })
}
