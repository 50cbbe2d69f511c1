import type { InstanceId } from '@hibiscusledge/runtime/identifiers.js'
import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { TraceContext } from '@hibiscusledge/runtime/trace-context.js'
import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import type { HeartbeatNetwork } from '../src/heartbeat-network.js'
import { decodeFrame, encodeFrame } from '../src/peer-frame.js'
import type { PeerError, PeerHandler, PeerIdentity } from '../src/peer-network.js'
import type { ProcessControl } from './process-control.js'

const LATENCY_MS = 1
const HEARTBEAT_PERIOD_MS = 500
const IDLE_TIMEOUT_MS = 2_000

/** Delivers messages between simulated processes, except in the blocked directions, written `from>to`. */
export class FakeSwitch {
  readonly clock: Clock
  readonly networks = new Map<InstanceId, FakeNetwork>()
  readonly blockedDirections = new Set<string>()

  constructor (clock: Clock) {
    this.clock = clock
  }

  send (from: FakeNetwork, to: InstanceId, run: (receiver: FakeNetwork) => void): boolean {
    const receiver = this.networks.get(to)
    if (receiver === undefined || receiver.control.isKilled()) return false
    if (this.blockedDirections.has(`${from.self.instance}>${to}`)) return true
    this.clock.startTimer(LATENCY_MS, () => receiver.control.run(() => {
      receiver.lastReceived.set(from.self.instance, { peer: from.self, atMs: this.clock.readMonotonicMs() })
      run(receiver)
    }))
    return true
  }
}

/** Peer network of one simulated process, connected to all others. */
export class FakeNetwork implements HeartbeatNetwork {
  readonly self: PeerIdentity
  readonly control: ProcessControl
  readonly lastReceived = new Map<InstanceId, { peer: PeerIdentity, atMs: number }>()
  readonly #switch: FakeSwitch
  readonly #handlers = new Map<string, PeerHandler>()

  constructor (networkSwitch: FakeSwitch, self: PeerIdentity, control: ProcessControl) {
    this.#switch = networkSwitch
    this.self = self
    this.control = control
    networkSwitch.networks.set(self.instance, this)
  }

  setHeartbeatProvider (provider: (to: PeerIdentity) => unknown): void {
    const sendHeartbeats = (): void => {
      for (const [instance, receiver] of this.#switch.networks) if (instance !== this.self.instance) this.sendNotification(instance, 'heartbeat', provider(receiver.self))
    }
    this.control.startTimer(0, sendHeartbeats)
    this.control.startInterval(HEARTBEAT_PERIOD_MS, sendHeartbeats)
  }

  setAddresses (): void {}

  registerHandler (kind: string, handler: PeerHandler): void {
    this.#handlers.set(kind, handler)
  }

  listConnected (): readonly PeerIdentity[] {
    const nowMs = this.#switch.clock.readMonotonicMs()
    return [...this.lastReceived.values()].filter(({ atMs }) => nowMs - atMs < IDLE_TIMEOUT_MS).map(({ peer }) => peer)
  }

  sendNotification (to: InstanceId, kind: string, body: unknown): boolean {
    const copy = encodeFrame({ kind, body }).andThen((bytes) => decodeFrame(bytes)).unwrap().body
    return this.#switch.send(this, to, (receiver) => { void receiver.#handlers.get(kind)?.(copy, this.self, undefined) })
  }

  async sendRequest (
    to: InstanceId, kind: string, body: unknown, timeoutMs: number, _trace?: TraceContext
  ): Promise<Result<unknown, PeerError>> {
    return await new Promise((resolve) => {
      this.control.startTimer(timeoutMs, () => resolve(Err({ code: 'timeout', message: kind })))
      this.#switch.send(this, to, (receiver) => {
        void receiver.#handlers.get(kind)?.(body, this.self, undefined).then((reply) => {
          receiver.#switch.send(receiver, this.self.instance, () => resolve(Ok(reply)))
        })
      })
    })
  }
}
