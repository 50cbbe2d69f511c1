import { JOB_MESSAGES } from '@hibiscusledge/jobs/job-messages.js'
import type { AddressableNetwork } from '@hibiscusledge/jobs/job-service.js'
import { serveOrder } from '@hibiscusledge/jobs/order-message.js'
import type { TargetGateway } from '@hibiscusledge/jobs/target-gateway.js'
import type { PeerHandler, PeerIdentity } from '@hibiscusledge/peer/peer-network.js'
import { toIncarnation, toInstanceId } from '@hibiscusledge/runtime/identifiers.js'
import { Err, Ok } from '@hibiscusledge/runtime/result.js'
import { z } from 'zod'
import type { ModelAdvice } from './model-advice.js'
import type { VirtualClock } from './virtual-clock.js'

const MESSAGE_LATENCY_MS = 2
const adviceRequestSchema = z.object({ stepName: z.string(), targetIds: z.array(z.string()) })

export const OWNER_NAME = 'i0'

export interface ModelNetworkOptions {
  readonly clock: VirtualClock
  readonly instanceCount: number
  readonly advice: ModelAdvice
  readonly gateway: TargetGateway
}

/** Creates the links of the owner to the other instances. These pass on orders and calls to the policy service, and do nothing else. */
export function createModelNetwork ({ clock, instanceCount, advice, gateway }: ModelNetworkOptions): AddressableNetwork {
  const handlers = new Map<string, PeerHandler>()
  const self = createIdentity(OWNER_NAME)
  const peers = Array.from({ length: instanceCount - 1 }, (_, index) => createIdentity(`i${index + 1}`))
  const serve = async (to: string, kind: string, body: unknown): Promise<unknown> => {
    if (kind === JOB_MESSAGES.sendOrder) return await serveOrder(gateway, body)
    if (kind !== JOB_MESSAGES.askAdvice) return await handlers.get(kind)?.(body, self, undefined)
    const { stepName, targetIds } = adviceRequestSchema.parse(body)
    return await advice.fetchAdvice(to, stepName, targetIds)
  }
  return {
    self,
    sendRequest: async (to, kind, body, timeoutMs) => await new Promise((resolve) => {
      const timer = clock.startTimer(timeoutMs, () => { resolve(Err({ code: 'timeout', message: 'no reply' })) })
      const answer = async (): Promise<void> => {
        await clock.wait(MESSAGE_LATENCY_MS)
        const reply = await serve(to, kind, body)
        await clock.wait(MESSAGE_LATENCY_MS)
        timer.cancel()
        resolve(Ok(reply))
      }
      void answer()
    }),
    sendNotification: (to, kind, body) => {
      void serve(to, kind, body)
      return true
    },
    registerHandler: (kind, handler) => { handlers.set(kind, handler) },
    listConnected: () => peers,
    setAddresses: () => {}
  }
}

function createIdentity (name: string): PeerIdentity {
  return { instance: toInstanceId(name), incarnation: toIncarnation(name) }
}
