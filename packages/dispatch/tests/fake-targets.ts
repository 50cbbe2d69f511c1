import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { RequestId, TargetId } from '@hibiscusledge/runtime/identifiers.js'
import type { RunOrder, RunReport, TargetAddress, TargetClient, TargetProgress } from '../src/target-client.js'

export interface RecordedSend {
  readonly target: TargetId
  readonly requestId: RequestId
  readonly attempt: number
  readonly atMs: number
  endedAtMs: number | undefined
  report: RunReport | undefined
  readonly listeners: Array<(report: RunReport) => void>
}

/** The targets of all shard owners of a test. They record each send and accept every order. */
export class FakeTargets {
  readonly sends: RecordedSend[] = []
  readonly acknowledged: RequestId[] = []
  readonly actions: string[] = []
  readonly clock: Clock
  /** When and how a run ends. Undefined leaves it running until the test calls `end`. */
  decideEnd: (send: RecordedSend) => { readonly afterMs: number, readonly report: RunReport } | undefined = () => undefined

  constructor (clock: Clock) {
    this.clock = clock
  }

  listSends (requestId: RequestId): RecordedSend[] {
    return this.sends.filter((send) => send.requestId === requestId)
  }

  end (requestId: RequestId, report: RunReport): void {
    for (const send of this.listSends(requestId)) if (send.report === undefined) this.#endSend(send, report)
  }

  createClient (): TargetClient {
    const detachments = new Map<TargetId, Array<() => void>>()
    const track = async (target: TargetAddress, order: RunOrder): Promise<RunReport> => {
      const detached = new Promise<RunReport>((resolve) => {
        const listeners = detachments.get(target.id) ?? []
        listeners.push(() => { resolve({ type: 'detached' }) })
        detachments.set(target.id, listeners)
      })
      return await Promise.race([this.#trackRun(target, order), detached])
    }
    return {
      run: (target, order) => {
        const send: RecordedSend = {
          target: target.id,
          requestId: order.requestId,
          attempt: order.attempt,
          atMs: this.clock.readMonotonicMs(),
          endedAtMs: undefined,
          report: undefined,
          listeners: []
        }
        this.sends.push(send)
        const end = this.decideEnd(send)
        if (end !== undefined) this.clock.startTimer(end.afterMs, () => { this.#endSend(send, end.report) })
        return track(target, order)
      },
      attach: track,
      detach: (targetId) => {
        for (const listener of detachments.get(targetId) ?? []) listener()
        detachments.delete(targetId)
      },
      acknowledge: (_targetId, order) => { this.acknowledged.push(order.requestId) },
      requestAction: async (_target, order, action) => { this.actions.push(`${action} ${order.requestId}`) },
      readProgress: async (): Promise<TargetProgress> => ({ progress: 1, running: 0, isLeaving: false }),
      close: async () => {}
    }
  }

  #endSend (send: RecordedSend, report: RunReport): void {
    if (send.report !== undefined) return
    send.report = report
    send.endedAtMs = this.clock.readMonotonicMs()
    for (const listener of send.listeners.splice(0)) listener(report)
  }

  async #trackRun (target: TargetAddress, order: RunOrder): Promise<RunReport> {
    const send = this.listSends(order.requestId).find(({ attempt, target: id }) => attempt === order.attempt && id === target.id)
    if (send === undefined) return await this.#settleAbsent(target)
    if (send.report !== undefined) return send.report
    return await new Promise((resolve) => {
      send.listeners.push(resolve)
      this.clock.startTimer(order.timeoutMs, () => { resolve({ type: 'unknown', message: 'no answer' }) })
    })
  }

  /**
   * Reports an order without a record as the real clients do: as unknown on an executor, where a missing record proves
   * nothing, and as lost on a worker, after the lease has expired.
   */
  async #settleAbsent (target: TargetAddress): Promise<RunReport> {
    const isWorker = target.id.startsWith('w')
    await new Promise<void>((resolve) => { this.clock.startTimer(isWorker ? 17_000 : 5000, resolve) })
    return { type: isWorker ? 'lost' : 'unknown', message: 'absent' }
  }
}
