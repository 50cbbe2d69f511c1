import { connect } from 'node:net'

const MAXIMUM_PORT = 65_535

/** Checks whether a process listens at an address. */
export interface PortProbe {
  /** Whether the machine refuses the connection, so nothing listens there. False if it accepts or does not respond in time. */
  isConnectionRefused (address: string, timeoutMs: number): Promise<boolean>
}

/** Probes a port by opening a TCP connection. */
export class TcpPortProbe implements PortProbe {
  async isConnectionRefused (address: string, timeoutMs: number): Promise<boolean> {
    const separatorIndex = address.lastIndexOf(':')
    const port = Number(address.slice(separatorIndex + 1))
    // An address that no process can have proves nothing, and connecting to it would throw.
    if (!Number.isInteger(port) || port < 1 || port > MAXIMUM_PORT) return false
    const socket = connect({ host: address.slice(0, separatorIndex), port })
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
