import { type PeerHandler, type PeerIdentity } from '@hibiscusledge/peer/peer-network.js'
import { toIncarnation, toInstanceId } from '@hibiscusledge/runtime/identifiers.js'
import { Err, Ok } from '@hibiscusledge/runtime/result.js'
import type { AddressableNetwork } from '../src/job-service.js'

/** Links between fake instances. All instances of a mesh reach each other, except those in `unreachable`. */
export class FakeMesh {
  readonly #handlers = new Map<string, Map<string, PeerHandler>>()
  readonly unreachable = new Set<string>()

  createNetwork (name: string): AddressableNetwork {
    const handlers = new Map<string, PeerHandler>()
    this.#handlers.set(name, handlers)
    const self: PeerIdentity = { instance: toInstanceId(name), incarnation: toIncarnation(name) }
    const deliver = async (to: string, kind: string, body: unknown): Promise<unknown> => {
      if (this.unreachable.has(name) || this.unreachable.has(to)) throw new Error('the instance is unreachable')
      const handler = this.#handlers.get(to)?.get(kind)
      if (handler === undefined) throw new Error(`no handler is registered for ${kind}`)
      return structuredClone(await handler(structuredClone(body), self, undefined))
    }
    return {
      self,
      sendRequest: async (to, kind, body) => {
        try {
          return Ok(await deliver(to, kind, body))
        } catch (error) {
          return Err({ code: 'timeout', message: String(error) })
        }
      },
      sendNotification: (to, kind, body) => {
        // A notification that can't be delivered is lost without an error.
        deliver(to, kind, body).catch(() => {})
        return true
      },
      registerHandler: (kind, handler) => { handlers.set(kind, handler) },
      listConnected: () => [...this.#handlers.keys()].filter((other) => other !== name && !this.unreachable.has(other))
        .map((other) => ({ instance: toInstanceId(other), incarnation: toIncarnation(other) })),
      setAddresses: () => {}
    }
  }

  removeNetwork (name: string): void {
    this.#handlers.delete(name)
  }
}
