/** A network address as given to `--address`, such as `10.0.0.7:8080` or `[::1]:8080`. */
export interface HostPort {
  readonly host: string
  readonly port: number
}

const HOST_PORT = /^(?:\[([0-9a-fA-F:.]+)\]|([A-Za-z0-9._-]+)):([0-9]{1,5})$/

/** Returns undefined when the text is malformed or the port is not from 1 to 65535. */
export function parseAddress (text: string): HostPort | undefined {
  const match = HOST_PORT.exec(text)
  const host = match?.[1] ?? match?.[2]
  const port = Number(match?.[3])
  if (host === undefined || !(port >= 1 && port <= 65_535)) return undefined
  return { host, port }
}

export function formatAddress ({ host, port }: HostPort): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`
}
