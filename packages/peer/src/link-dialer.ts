import { computeBackoffMs } from '@hibiscusledge/runtime/backoff.js'
import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import type { InstanceId } from '@hibiscusledge/runtime/identifiers.js'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'

const DIAL_CHECK_PERIOD_MS = 100
const DIAL_BACKOFF = { initialMs: 200, maximumMs: 2_000 }

interface DialState { retry: number, notBeforeMs: number, isDialing: boolean, instance: InstanceId | undefined }

/** Connects to the seed peers and to the addresses of known instances that have no link yet, with backoff after failures. */
export class LinkDialer {
  readonly #clock: Clock
  readonly #random: RandomSource
  readonly #self: InstanceId
  readonly #seedAddresses: readonly string[]
  readonly #isConnected: (instance: InstanceId) => boolean
  readonly #dial: (address: string) => void
  readonly #higherIdDelayMs: number
  readonly #states = new Map<string, DialState>()
  #addresses: ReadonlyMap<InstanceId, string> = new Map()
  #timer: Timer | undefined

  constructor (
    clock: Clock, random: RandomSource, self: InstanceId, seedAddresses: readonly string[],
    isConnected: (instance: InstanceId) => boolean, dial: (address: string) => void, higherIdDelayMs: number
  ) {
    this.#higherIdDelayMs = higherIdDelayMs
    this.#clock = clock
    this.#random = random
    this.#self = self
    this.#seedAddresses = seedAddresses
    this.#isConnected = isConnected
    this.#dial = dial
  }

  start (): void {
    this.#timer = this.#clock.startInterval(DIAL_CHECK_PERIOD_MS, () => this.#connectDueAddresses())
    this.#connectDueAddresses()
  }

  stop (): void {
    this.#timer?.cancel()
  }

  setAddresses (addresses: ReadonlyMap<InstanceId, string>): void {
    this.#addresses = addresses
    const wanted = new Set([...this.#seedAddresses, ...addresses.values()])
    for (const address of this.#states.keys()) if (!wanted.has(address)) this.#states.delete(address)
  }

  /** Records which instance was reached at an address. The address of this instance itself is not dialed again. */
  recordInstance (address: string, instance: InstanceId): void {
    const state = this.#states.get(address)
    if (state === undefined) return
    state.instance = instance
    state.retry = 0
  }

  /** Records that the connection to `address` was closed or failed; the next attempt follows after a backoff. */
  recordClosed (address: string): void {
    const state = this.#states.get(address)
    if (state === undefined) return
    state.isDialing = false
    state.notBeforeMs = this.#clock.readMonotonicMs() + computeBackoffMs(state.retry++, DIAL_BACKOFF, this.#random)
  }

  #connectDueAddresses (): void {
    const nowMs = this.#clock.readMonotonicMs()
    const known = new Map([...this.#addresses].map(([instance, address]) => [address, instance]))
    for (const address of new Set([...this.#seedAddresses, ...known.keys()])) {
      const state = this.#ensureState(address, known.get(address), nowMs)
      const instance = known.get(address) ?? state.instance
      if (state.isDialing || nowMs < state.notBeforeMs || instance === this.#self) continue
      if (instance !== undefined && this.#isConnected(instance)) continue
      state.isDialing = true
      this.#dial(address)
    }
  }

  #ensureState (address: string, instance: InstanceId | undefined, nowMs: number): DialState {
    let state = this.#states.get(address)
    if (state === undefined) {
      const delayMs = instance !== undefined && instance < this.#self ? this.#higherIdDelayMs : 0
      state = { retry: 0, notBeforeMs: nowMs + delayMs, isDialing: false, instance: undefined }
      this.#states.set(address, state)
    }
    return state
  }
}
