import type { InstanceId } from '@hibiscusledge/runtime/identifiers.js'
import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { TraceContext } from '@hibiscusledge/runtime/trace-context.js'
import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import type { HeartbeatNetwork } from '../src/heartbeat-network.js'
import { decodeFrame, encodeFrame } from '../src/peer-frame.js'
import type { PeerError, PeerHandler, PeerIdentity } from '../src/peer-network.js'
import type { ProcessGate } from './process-gate.js'

const LATENCY_MS = 1
const HEARTBEAT_PERIOD_MS = 500
const SILENCE_LIMIT_MS = 2_000

/** Carries messages between simulated processes. A direction `from>to` can be cut. */
export class FakeSwitch {
  readonly clock: Clock
  readonly networks = new Map<InstanceId, FakeNetwork>()
  readonly blockedDirections = new Set<string>()

  constructor (clock: Clock) {
    this.clock = clock
  }

  send (from: FakeNetwork, to: InstanceId, run: (target: FakeNetwork) => void): boolean {
    const target = this.networks.get(to)
    if (target === undefined || target.gate.isKilled()) return false
    if (this.blockedDirections.has(`${from.self.instance}>${to}`)) return true
    this.clock.startTimer(LATENCY_MS, () => target.gate.run(() => {
      target.lastReceived.set(from.self.instance, { peer: from.self, atMs: this.clock.readMonotonicMs() })
      run(target)
    }))
    return true
  }
}

/** Links of one simulated process to all others. */
export class FakeNetwork implements HeartbeatNetwork {
  readonly self: PeerIdentity
  readonly gate: ProcessGate
  readonly lastReceived = new Map<InstanceId, { peer: PeerIdentity, atMs: number }>()
  readonly #switch: FakeSwitch
  readonly #handlers = new Map<string, PeerHandler>()

  constructor (networkSwitch: FakeSwitch, self: PeerIdentity, gate: ProcessGate) {
    this.#switch = networkSwitch
    this.self = self
    this.gate = gate
    networkSwitch.networks.set(self.instance, this)
  }

  setHeartbeatProvider (provider: (to: PeerIdentity) => unknown): void {
    const beat = (): void => {
      for (const [instance, target] of this.#switch.networks) if (instance !== this.self.instance) this.sendNotification(instance, 'heartbeat', provider(target.self))
    }
    this.gate.startTimer(0, beat)
    this.gate.startInterval(HEARTBEAT_PERIOD_MS, beat)
  }

  setAddresses (): void {}

  registerHandler (kind: string, handler: PeerHandler): void {
    this.#handlers.set(kind, handler)
  }

  listConnected (): readonly PeerIdentity[] {
    const nowMs = this.#switch.clock.readMonotonicMs()
    return [...this.lastReceived.values()].filter(({ atMs }) => nowMs - atMs < SILENCE_LIMIT_MS).map(({ peer }) => peer)
  }

  sendNotification (to: InstanceId, kind: string, body: unknown): boolean {
    const copy = encodeFrame({ kind, body }).andThen((bytes) => decodeFrame(bytes)).unwrap().body
    return this.#switch.send(this, to, (target) => { void target.#handlers.get(kind)?.(copy, this.self, undefined) })
  }

  async sendRequest (
    to: InstanceId, kind: string, body: unknown, timeoutMs: number, _trace?: TraceContext
  ): Promise<Result<unknown, PeerError>> {
    return await new Promise((resolve) => {
      this.gate.startTimer(timeoutMs, () => resolve(Err({ code: 'timeout', message: kind })))
      this.#switch.send(this, to, (target) => {
        void target.#handlers.get(kind)?.(body, this.self, undefined).then((reply) => {
          target.#switch.send(target, this.self.instance, () => resolve(Ok(reply)))
        })
      })
    })
  }
}
