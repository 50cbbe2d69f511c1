import { connect, createServer, type Server, type Socket } from 'node:net'

/** `open`: bytes are forwarded. `refused`: existing connections are closed, and new ones are closed on arrival. */
export type ProxyMode = 'open' | 'refused'

/** Forwards TCP connections to a local port, so that a link between two healthy processes can be cut or made unresponsive. */
export class TcpProxy {
  readonly #upstreamPort: number
  readonly #server: Server
  readonly #pairs = new Set<readonly [Socket, Socket]>()
  #mode: ProxyMode = 'open'
  #forwardedBytes = 0

  constructor (targetPort: number) {
    this.#upstreamPort = targetPort
    this.#server = createServer((socket) => { this.#accept(socket) })
  }

  /** Starts to listen on a free port and returns it. */
  async start (): Promise<number> {
    await new Promise<void>((resolve) => { this.#server.listen(0, '127.0.0.1', resolve) })
    return (this.#server.address() as { port: number }).port
  }

  /** Returns the TCP payload bytes forwarded in both directions since the start. */
  readForwardedBytes (): number {
    return this.#forwardedBytes
  }

  setMode (mode: ProxyMode): void {
    this.#mode = mode
    if (mode === 'refused') this.#closePairs()
  }

  /** Stops forwarding on the existing connections, which stay open. New connections work. */
  pauseConnections (): void {
    for (const [left, right] of this.#pairs) {
      left.unpipe(right).pause()
      right.unpipe(left).pause()
    }
  }

  async stop (): Promise<void> {
    this.#closePairs()
    await new Promise((resolve) => { this.#server.close(resolve) })
  }

  readonly #countBytes = (chunk: Buffer): void => { this.#forwardedBytes += chunk.length }

  #accept (socket: Socket): void {
    if (this.#mode === 'refused') {
      socket.destroy()
      return
    }
    const upstream = connect(this.#upstreamPort, '127.0.0.1')
    const pair = [socket, upstream] as const
    this.#pairs.add(pair)
    const close = (): void => {
      this.#pairs.delete(pair)
      socket.destroy()
      upstream.destroy()
    }
    for (const member of pair) member.on('error', close).on('close', close)
    socket.on('data', this.#countBytes).pipe(upstream)
    upstream.on('data', this.#countBytes).pipe(socket)
  }

  #closePairs (): void {
    for (const [left, right] of this.#pairs) {
      left.destroy()
      right.destroy()
    }
  }
}
