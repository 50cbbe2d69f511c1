import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import { Err, type Result } from '@hibiscusledge/runtime/result.js'
import type { PeerError, PeerErrorCode } from '@hibiscusledge/peer/peer-network.js'
import type { AddressableNetwork } from '../src/job-service.js'

/** Shares of the requests between instances that are hit by each fault. */
export interface LinkFaults {
  /** Requests that time out: they are handled or not. */
  readonly lostShare: number
  /** Requests whose link closes: before they are sent, before they are handled, or while they are. */
  readonly closedShare: number
  /** Requests or replies that are delayed. */
  readonly slowShare: number
}

const MAXIMUM_DELAY_MS = 900

/** Creates a view of an instance's links with faults that are drawn for each request. */
export function createFaultyNetwork (
  network: AddressableNetwork, clock: Clock, random: RandomSource, faults: LinkFaults
): AddressableNetwork {
  const isHit = (share: number): boolean => random.drawFraction() < share
  const wait = async (durationMs: number): Promise<void> => {
    await new Promise<void>((resolve) => { clock.startTimer(durationMs, resolve) })
  }
  const fail = (code: PeerErrorCode): Result<never, PeerError> => Err({ code, message: code })
  return {
    ...network,
    sendRequest: async (to, kind, body, timeoutMs, trace) => {
      const startedAtMs = clock.readMonotonicMs()
      if (isHit(faults.closedShare)) {
        const moment = random.drawInteger(3)
        if (moment === 0) return fail('notConnected')
        if (moment === 1) void network.sendRequest(to, kind, body, timeoutMs, trace)
        await wait(random.drawInteger(100))
        return fail('closed')
      }
      const isLost = isHit(faults.lostShare)
      const requestMs = isHit(faults.slowShare) ? random.drawInteger(MAXIMUM_DELAY_MS) : 1
      const replyMs = isHit(faults.slowShare) ? random.drawInteger(MAXIMUM_DELAY_MS) : 1
      const isRequestLost = isLost && random.drawInteger(2) === 0
      const reply = wait(requestMs).then(async () => {
        if (isRequestLost) return await new Promise<never>(() => {})
        const result = await network.sendRequest(to, kind, body, timeoutMs, trace)
        await wait(replyMs)
        return isLost ? await new Promise<never>(() => {}) : result
      })
      const timeout = wait(timeoutMs).then(() => fail('timeout'))
      const result = await Promise.race([reply, timeout])
      return clock.readMonotonicMs() - startedAtMs >= timeoutMs ? fail('timeout') : result
    }
  }
}
