import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import type { Clock } from '@hibiscusledge/runtime/clock.js'
import { toIncarnation, type InstanceId } from '@hibiscusledge/runtime/identifiers.js'
import { PEER_ERROR_CODES, type PeerError, type PeerHandler, type PeerIdentity, type PeerNetwork } from '@hibiscusledge/peer/peer-network.js'

export interface FakeMessage {
  readonly kind: string
  readonly from: InstanceId
  readonly to: InstanceId
  readonly isReply: boolean
  readonly body: unknown
}

/** Delay in milliseconds of each copy of a message. None means that the message is lost, two that it is duplicated. */
export type DeliveryDelays = readonly number[]

/** Connects the roles of several instances in one process. `decideDelivery` can lose, delay, duplicate and reorder messages. */
export class FakeNetworkHub {
  readonly messages: FakeMessage[] = []
  readonly clock: Clock
  decideDelivery: (message: FakeMessage) => DeliveryDelays = () => [0]
  readonly #handlers = new Map<InstanceId, Map<string, PeerHandler>>()
  readonly #dead = new Set<InstanceId>()

  constructor (clock: Clock) {
    this.clock = clock
  }

  connect (instance: InstanceId): PeerNetwork {
    const self: PeerIdentity = { instance, incarnation: toIncarnation(`${instance}-1`) }
    const handlers = new Map<string, PeerHandler>()
    this.#handlers.set(instance, handlers)
    return {
      self,
      sendRequest: (to, kind, body, timeoutMs) => this.#sendRequest(self, to, kind, body, timeoutMs),
      sendNotification: (to, kind, body) => {
        this.#transfer({ kind, from: instance, to, isReply: false, body }, () => { void this.#handle(self, to, kind, body) })
        return true
      },
      registerHandler: (kind, handler) => { handlers.set(kind, handler) },
      listConnected: () => []
    }
  }

  /** Makes an instance neither send nor receive messages from now on. */
  kill (instance: InstanceId): void {
    this.#dead.add(instance)
  }

  isDead (instance: InstanceId): boolean {
    return this.#dead.has(instance)
  }

  #sendRequest (self: PeerIdentity, to: InstanceId, kind: string, body: unknown, timeoutMs: number): Promise<Result<unknown, PeerError>> {
    if (this.#dead.has(to)) return Promise.resolve(Err({ code: PEER_ERROR_CODES.notConnected, message: 'no link' }))
    return new Promise((resolve) => {
      this.clock.startTimer(timeoutMs, () => { resolve(Err({ code: PEER_ERROR_CODES.timeout, message: 'no reply' })) })
      this.#transfer({ kind, from: self.instance, to, isReply: false, body }, () => {
        void this.#handle(self, to, kind, body).then((reply) => {
          if (this.#dead.has(to)) return
          this.#transfer({ kind, from: to, to: self.instance, isReply: true, body: reply }, () => { resolve(Ok(reply)) })
        })
      })
    })
  }

  #transfer (message: FakeMessage, receive: () => void): void {
    if (this.#dead.has(message.from)) return
    this.messages.push(message)
    for (const delayMs of this.decideDelivery(message)) {
      if (delayMs === 0) queueMicrotask(receive)
      else this.clock.startTimer(delayMs, () => { if (!this.#dead.has(message.to)) receive() })
    }
  }

  async #handle (from: PeerIdentity, to: InstanceId, kind: string, body: unknown): Promise<unknown> {
    const handler = this.#handlers.get(to)?.get(kind)
    if (handler === undefined || this.#dead.has(to)) return await new Promise(() => {})
    return await handler(structuredClone(body), from, undefined)
  }
}
