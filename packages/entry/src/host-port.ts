/** Network address, written as `10.0.0.7:4100` or `[::1]:4100` in settings. */
export interface HostPort {
  readonly host: string
  readonly port: number
}

const HOST_PORT_PATTERN = /^(?:\[([0-9a-fA-F:.]+)\]|([^\s:[\]/]+)):([0-9]{1,5})$/

/** Parses `HOST:PORT`. Returns undefined when it is malformed or the port is not in 1 to 65535. */
export function parseHostPort (text: string): HostPort | undefined {
  const match = HOST_PORT_PATTERN.exec(text)
  const host = match?.[1] ?? match?.[2]
  const port = Number(match?.[3])
  if (host === undefined || !(port >= 1 && port <= 65_535)) return undefined
  return { host, port }
}

export function formatHostPort (address: HostPort): string {
  return address.host.includes(':') ? `[${address.host}]:${address.port}` : `${address.host}:${address.port}`
}
