import { connect } from 'node:net'

/** Tells whether anything listens at an address. */
export interface PortProbe {
  /** True only when the machine answers that nothing listens there; false when it accepts, or doesn't answer in time. */
  isConnectionRefused (address: string, timeoutMs: number): Promise<boolean>
}

/** Probes by opening a TCP connection. */
export class TcpPortProbe implements PortProbe {
  async isConnectionRefused (address: string, timeoutMs: number): Promise<boolean> {
    const at = address.lastIndexOf(':')
    const socket = connect({ host: address.slice(0, at), port: Number(address.slice(at + 1)) })
    return await new Promise((resolve) => {
      const finish = (isRefused: boolean): void => {
        clearTimeout(timer)
        socket.destroy()
        resolve(isRefused)
      }
      const timer = setTimeout(() => finish(false), timeoutMs)
      socket.once('connect', () => finish(false))
      socket.once('error', (error: NodeJS.ErrnoException) => finish(error.code === 'ECONNREFUSED'))
    })
  }
}
