import type { AddressInfo } from 'node:net'
import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { InstanceId } from '@hibiscusledge/runtime/identifiers.js'
import type { MetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import type { TraceContext } from '@hibiscusledge/runtime/trace-context.js'
import { Err, type Result } from '@hibiscusledge/runtime/result.js'
import { WebSocket, WebSocketServer } from 'ws'
import { HandlerRegistry } from './handler-registry.js'
import type { HeartbeatNetwork } from './heartbeat-network.js'
import { shouldReplaceLink, type LinkState } from './link-replacement.js'
import { LinkDialer } from './link-dialer.js'
import { MAX_FRAME_BYTES, PROTOCOL_VERSION, type PeerFrame } from './peer-frame.js'
import { LINK_CLOSE_CODES, PeerLink, type Hello, type PeerLinkHandler } from './peer-link.js'
import { PEER_LOG_EVENTS } from './peer-log-events.js'
import { PEER_MESSAGE_KINDS } from './peer-message-kinds.js'
import { PEER_ERROR_CODES, type PeerError, type PeerHandler, type PeerIdentity } from './peer-network.js'
import type { PeerTimings } from './peer-timings.js'
import { PendingRequests } from './pending-requests.js'

const CONNECT_TIMEOUT_MS = 2_000
/** A gap of fewer heartbeat periods than this never counts as a pause of the process, since timers are often slightly late. */
const PAUSE_GAP_PERIODS = 1.5

export interface WebSocketPeerNetworkOptions {
  readonly self: PeerIdentity
  readonly startedAtMs: number
  readonly listenHost: string
  readonly listenPort: number
  readonly seedAddresses: readonly string[]
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: EventLogger
  readonly metrics: MetricSink
  readonly timings: PeerTimings
}

/** Peer network over WebSocket links, one for each pair of instances. */
export class WebSocketPeerNetwork implements HeartbeatNetwork, PeerLinkHandler {
  readonly self: PeerIdentity
  readonly #options: WebSocketPeerNetworkOptions
  readonly #handlers: HandlerRegistry
  readonly #links = new Map<InstanceId, PeerLink>()
  readonly #connections = new Set<PeerLink>()
  readonly #dialedAddresses = new Map<PeerLink, string>()
  readonly #pending: PendingRequests
  readonly #dialer: LinkDialer
  #server: WebSocketServer | undefined
  #heartbeatTimer: Timer | undefined
  #lastHeartbeatMs = 0
  #buildHeartbeat: (to: PeerIdentity) => unknown = () => ({})
  #isStopped = false

  constructor (options: WebSocketPeerNetworkOptions) {
    this.self = options.self
    this.#options = options
    this.#handlers = new HandlerRegistry(options.self, options.clock, options.logger)
    this.#pending = new PendingRequests(options.clock)
    this.#dialer = new LinkDialer(options.clock, options.random, options.self.instance, options.seedAddresses,
      (instance) => this.#links.has(instance), (address) => this.#connect(address), options.timings.higherIdDelayMs)
  }

  /** Opens the listener and starts to connect to peers. Returns the listening port. Rejects if the address can't be bound. */
  async start (): Promise<number> {
    const { listenHost, listenPort, clock, timings } = this.#options
    const server = new WebSocketServer({ host: listenHost, port: listenPort, maxPayload: MAX_FRAME_BYTES, perMessageDeflate: false })
    await new Promise<void>((resolve, reject) => {
      server.once('listening', () => resolve())
      server.once('error', reject)
    })
    server.on('error', () => {})
    server.on('connection', (socket) => { this.#addConnection(socket, false) })
    this.#server = server
    this.#lastHeartbeatMs = clock.readMonotonicMs()
    this.#heartbeatTimer = clock.startInterval(timings.heartbeatPeriodMs, () => this.#sendHeartbeats())
    this.#dialer.start()
    return (server.address() as AddressInfo).port
  }

  async stop (): Promise<void> {
    this.#isStopped = true
    this.#heartbeatTimer?.cancel()
    this.#dialer.stop()
    for (const link of this.#connections) link.close(LINK_CLOSE_CODES.stopping, 'stopping')
    const server = this.#server
    await new Promise<void>((resolve) => {
      if (server === undefined) return resolve()
      // A peer that does not complete the closing handshake must not delay the stop.
      const timer = this.#options.clock.startTimer(500, () => { for (const link of this.#connections) link.terminate() })
      server.close(() => {
        timer.cancel()
        resolve()
      })
    })
    for (const link of this.#connections) link.terminate()
  }

  async sendRequest (
    to: InstanceId, kind: string, body: unknown, timeoutMs: number, trace?: TraceContext
  ): Promise<Result<unknown, PeerError>> {
    if (to === this.self.instance) return await this.#handlers.sendRequest({ kind, body, trace }, timeoutMs)
    const link = this.#links.get(to)
    if (link === undefined) return Err({ code: PEER_ERROR_CODES.notConnected, message: `there is no open link to ${to}` })
    return await this.#pending.add(link, timeoutMs, (id) => link.send({ kind, id, body, trace }))
  }

  sendNotification (to: InstanceId, kind: string, body: unknown, trace?: TraceContext): boolean {
    if (to === this.self.instance) return this.#handlers.sendNotification({ kind, body, trace })
    return this.#links.get(to)?.send({ kind, body, trace }) === undefined && this.#links.has(to)
  }

  registerHandler (kind: string, handler: PeerHandler): void {
    this.#handlers.register(kind, handler)
  }

  listConnected (): readonly PeerIdentity[] {
    return [...this.#links.values()].filter((link) => link.readIdleMs() < this.#options.timings.linkIdleTimeoutMs)
      .flatMap((link) => link.readPeer() ?? []).map(({ instance, incarnation }) => ({ instance, incarnation }))
  }

  setHeartbeatProvider (provider: (to: PeerIdentity) => unknown): void {
    this.#buildHeartbeat = provider
  }

  setAddresses (addresses: ReadonlyMap<InstanceId, string>): void {
    this.#dialer.setAddresses(addresses)
  }

  onHello (link: PeerLink, hello: Hello): void {
    const address = this.#dialedAddresses.get(link)
    if (address !== undefined) this.#dialer.recordInstance(address, hello.instance)
    if (hello.protocol !== PROTOCOL_VERSION) return this.#refuseLink(link, 'protocolVersion', `protocol ${hello.protocol} is not supported`)
    if (hello.instance === this.self.instance) return this.#refuseLink(link, 'self', 'the peer has the same instance id')
    const existing = this.#links.get(hello.instance)
    if (existing !== undefined && !shouldReplaceLink(this.#readLinkState(existing), this.#readLinkState(link))) {
      return this.#refuseLink(link, 'duplicate', 'another link to this instance is in use')
    }
    if (!link.isOutbound) this.#sendHello(link)
    link.accept()
    this.#links.set(hello.instance, link)
    if (existing !== undefined) this.#retireLink(existing)
    this.#options.metrics.setGauge('peer.links.open', this.#links.size)
    const { instance: peer, incarnation } = hello
    this.#options.logger.logInfo(PEER_LOG_EVENTS.linkOpened, { peer, incarnation, isOutbound: link.isOutbound })
    link.send({ kind: PEER_MESSAGE_KINDS.heartbeat, body: this.#buildHeartbeat(hello) })
  }

  onFrame (link: PeerLink, frame: PeerFrame): void {
    const peer = link.readPeer()
    if (peer === undefined) return
    if (frame.replyTo !== undefined) return this.#pending.settleReply(link, frame.replyTo, frame.body, frame.error)
    void this.#handleFrame(link, frame, { instance: peer.instance, incarnation: peer.incarnation })
  }

  onMalformed (link: PeerLink, error: PeerError): void {
    const { code, message } = error
    this.#options.logger.logWarning(PEER_LOG_EVENTS.frameMalformed, { peer: link.readHello()?.instance, code, message })
    this.#options.metrics.incrementCounter('peer.frames.malformed')
    link.send({ kind: PEER_MESSAGE_KINDS.hello, error, body: undefined })
    link.close(LINK_CLOSE_CODES.malformed, code)
  }

  onClosed (link: PeerLink, code: number): void {
    this.#connections.delete(link)
    this.#pending.failLink(link)
    const address = this.#dialedAddresses.get(link)
    this.#dialedAddresses.delete(link)
    if (address !== undefined) this.#dialer.recordClosed(address)
    const peer = link.readHello()?.instance
    if (peer === undefined || this.#links.get(peer) !== link) return
    this.#links.delete(peer)
    this.#options.metrics.setGauge('peer.links.open', this.#links.size)
    this.#options.logger.logInfo(PEER_LOG_EVENTS.linkClosed, { peer, code })
  }

  #connect (address: string): void {
    let socket: WebSocket
    try {
      socket = new WebSocket(`ws://${address}`, { handshakeTimeout: CONNECT_TIMEOUT_MS, maxPayload: MAX_FRAME_BYTES, perMessageDeflate: false })
    } catch (error) {
      this.#options.logger.logWarning(PEER_LOG_EVENTS.linkRefused, { address, reason: String(error) })
      return this.#dialer.recordClosed(address)
    }
    const link = this.#addConnection(socket, true)
    this.#dialedAddresses.set(link, address)
    socket.on('open', () => this.#sendHello(link))
  }

  #addConnection (socket: WebSocket, isOutbound: boolean): PeerLink {
    const link = new PeerLink(socket, isOutbound, this, () => this.#options.clock.readMonotonicMs())
    this.#connections.add(link)
    if (this.#isStopped) link.terminate()
    return link
  }

  #sendHello (link: PeerLink): void {
    link.sendHello({ instance: this.self.instance, incarnation: this.self.incarnation, startedAt: this.#options.startedAtMs })
  }

  #refuseLink (link: PeerLink, cause: keyof typeof LINK_CLOSE_CODES, reason: string): void {
    this.#options.logger.logInfo(PEER_LOG_EVENTS.linkRefused, { peer: link.readHello()?.instance, cause })
    link.close(LINK_CLOSE_CODES[cause], reason)
  }

  // Closed with a handshake, since frames that the peer has sent on the old link may still arrive.
  #retireLink (link: PeerLink): void {
    this.#pending.failLink(link)
    link.close(LINK_CLOSE_CODES.duplicate, 'replaced by a new link')
  }

  #readLinkState (link: PeerLink): LinkState {
    const hello = link.readHello()
    return {
      initiator: link.readInitiator(this.self.instance),
      incarnation: hello?.incarnation ?? '',
      startedAtMs: hello?.startedAt ?? 0,
      idleMs: link.readIdleMs()
    }
  }

  #sendHeartbeats (): void {
    const { clock, timings, logger } = this.#options
    const nowMs = clock.readMonotonicMs()
    const wasPaused = nowMs - this.#lastHeartbeatMs > Math.max(timings.pauseThresholdMs, timings.heartbeatPeriodMs * PAUSE_GAP_PERIODS)
    this.#lastHeartbeatMs = nowMs
    for (const link of this.#connections) {
      // Frames that arrived during a pause of this process have not been read yet.
      if (wasPaused) link.resetIdleTime()
      const peer = link.readPeer()
      if (link.readIdleMs() >= timings.linkIdleTimeoutMs) {
        logger.logWarning(PEER_LOG_EVENTS.linkSilent, { peer: peer?.instance, silentMs: link.readIdleMs() })
        link.terminate()
      } else if (peer !== undefined) {
        link.send({ kind: PEER_MESSAGE_KINDS.heartbeat, body: this.#buildHeartbeat(peer) })
      }
    }
  }

  async #handleFrame (link: PeerLink, frame: PeerFrame, from: PeerIdentity): Promise<void> {
    const reply = await this.#handlers.runHandler(frame, from)
    if (frame.id === undefined) return
    const { kind, id } = frame
    const error = link.send(reply.ok ? { kind, replyTo: id, body: reply.val } : { kind, replyTo: id, error: reply.val, body: undefined })
    if (error !== undefined) link.send({ kind, replyTo: id, error, body: undefined })
  }
}
