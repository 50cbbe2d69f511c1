import type { PeerNetwork } from '@hibiscusledge/peer/peer-network.js'
import { toInstanceId } from '@hibiscusledge/runtime/identifiers.js'
import { Err, type Result } from '@hibiscusledge/runtime/result.js'
import { JOB_MESSAGES } from './job-messages.js'
import { decodeOrderAnswer, decodeOrderReport, type OrderMessage } from './order-message.js'
import {
  ORDER_ERROR_CODES, type PollOrder, type OrderAnswer, type OrderError, type StartOrder, type StopOrder, type TargetEndpoint,
  type TargetGateway, type TargetReport
} from './target-gateway.js'

/** Up to this many targets, the owner sends its orders itself, which takes one message less per order. */
const MAXIMUM_DIRECT_TARGETS = 64
/** Timeout of a delegate's reply, in addition to the time for which a poll waits at the target. */
const REPLY_TIMEOUT_MS = 900

/**
 * Sends the owner's orders through other instances, its delegates, when there are many targets: HTTP calls to all of them take
 * more CPU time than one instance has. Each target is assigned to one delegate, and reassigned when that one can't be reached
 * or gets no answer from the target. An order whose reply is lost counts as unanswered, as if the target had not answered.
 */
export class DelegatingTargetGateway implements TargetGateway {
  readonly #network: PeerNetwork
  readonly #direct: TargetGateway
  readonly #knownTargetIds = new Set<string>()
  /** Delegate that each target is assigned to. */
  readonly #delegates = new Map<string, string>()
  /** Number of assignments made to each delegate. Never reduced, so that a released target is reassigned to another delegate. */
  readonly #loads = new Map<string, number>()

  constructor (network: PeerNetwork, direct: TargetGateway) {
    this.#network = network
    this.#direct = direct
  }

  async startRun (target: TargetEndpoint, order: StartOrder): Promise<Result<OrderAnswer, OrderError>> {
    const reply = await this.#sendThroughDelegate({ kind: 'start', target: toEndpoint(target), order }, 0)
    return reply === undefined ? await this.#direct.startRun(target, order) : this.#checkAnswer(target, reply.andThen(decodeOrderAnswer))
  }

  async stopRun (target: TargetEndpoint, order: StopOrder): Promise<Result<OrderAnswer, OrderError>> {
    const reply = await this.#sendThroughDelegate({ kind: 'stop', target: toEndpoint(target), order }, 0)
    return reply === undefined ? await this.#direct.stopRun(target, order) : this.#checkAnswer(target, reply.andThen(decodeOrderAnswer))
  }

  async fetchReport (target: TargetEndpoint, order: PollOrder): Promise<Result<TargetReport, OrderError>> {
    const reply = await this.#sendThroughDelegate({ kind: 'look', target: toEndpoint(target), order }, order.waitMs)
    return reply === undefined ? await this.#direct.fetchReport(target, order) : this.#checkAnswer(target, reply.andThen(decodeOrderReport))
  }

  removeTarget (targetId: string): void {
    this.#release(targetId)
    this.#knownTargetIds.delete(targetId)
    this.#direct.removeTarget(targetId)
  }

  /** Returns the reply of the delegate that the target is assigned to; undefined when the owner must send the order itself. */
  async #sendThroughDelegate (message: OrderMessage, waitMs: number): Promise<Result<unknown, OrderError> | undefined> {
    const { id, address } = message.target
    this.#knownTargetIds.add(id)
    if (address === '' || this.#knownTargetIds.size <= MAXIMUM_DIRECT_TARGETS) return undefined
    const delegate = this.#delegates.get(id) ?? this.#assign(id)
    if (delegate === undefined) return undefined
    const reply = await this.#network.sendRequest(toInstanceId(delegate), JOB_MESSAGES.sendOrder, message, REPLY_TIMEOUT_MS + waitMs)
    if (reply.ok) return reply
    this.#release(id)
    if (reply.val.code === 'notConnected') return undefined
    return Err({ code: ORDER_ERROR_CODES.noAnswer, message: `no reply from ${delegate}: ${reply.val.message}` })
  }

  /** Releases the target from its delegate when that one got no answer from it. */
  #checkAnswer<Value> (target: TargetEndpoint, result: Result<Value, OrderError>): Result<Value, OrderError> {
    if (result.err && result.val.code === ORDER_ERROR_CODES.noAnswer) this.#release(target.id)
    return result
  }

  #assign (targetId: string): string | undefined {
    let best: string | undefined
    for (const { instance } of this.#network.listConnected()) {
      if (best === undefined || this.#readLoad(instance) < this.#readLoad(best)) best = instance
    }
    if (best === undefined) return undefined
    this.#delegates.set(targetId, best)
    this.#loads.set(best, this.#readLoad(best) + 1)
    return best
  }

  #release (targetId: string): void {
    this.#delegates.delete(targetId)
  }

  #readLoad (instance: string): number {
    return this.#loads.get(instance) ?? 0
  }
}

function toEndpoint ({ id, address }: TargetEndpoint): TargetEndpoint {
  return { id, address }
}
