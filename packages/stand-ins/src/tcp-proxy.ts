import { connect, createServer, type Server, type Socket } from 'node:net'

/** `open`: bytes pass. `refused`: present connections close, and new ones close at once. */
export type ProxyMode = 'open' | 'refused'

/** Forwards TCP connections to one address, so that a link can be cut or go silent between two healthy processes. */
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

  /** Returns the port that the relay listens on. */
  async start (): Promise<number> {
    await new Promise<void>((resolve) => { this.#server.listen(0, '127.0.0.1', resolve) })
    return (this.#server.address() as { port: number }).port
  }

  /** Payload bytes of TCP in both directions since the start. */
  readForwardedBytes (): number {
    return this.#forwardedBytes
  }

  setMode (mode: ProxyMode): void {
    this.#mode = mode
    if (mode === 'refused') this.#closePairs()
  }

  /** Present connections stay open and pass nothing more; new ones work. */
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
    const onward = connect(this.#upstreamPort, '127.0.0.1')
    const pair = [socket, onward] as const
    this.#pairs.add(pair)
    const close = (): void => {
      this.#pairs.delete(pair)
      socket.destroy()
      onward.destroy()
    }
    for (const end of pair) end.on('error', close).on('close', close)
    socket.on('data', this.#countBytes).pipe(onward)
    onward.on('data', this.#countBytes).pipe(socket)
  }

  #closePairs (): void {
    for (const [left, right] of this.#pairs) {
      left.destroy()
      right.destroy()
    }
  }
}
