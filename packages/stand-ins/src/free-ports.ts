import { randomInt } from 'node:crypto'
import { createServer } from 'node:net'

const FIRST_PORT = 10_000
/** The system assigns ports from here upwards to outgoing connections. */
const FIRST_EPHEMERAL_PORT = 32_000
const HOST = '127.0.0.1'
/** Number of ports in a range. A listener on the first of them marks the range as claimed. */
const PORTS_PER_RANGE = 400
const RANGE_COUNT = Math.floor((FIRST_EPHEMERAL_PORT - FIRST_PORT) / PORTS_PER_RANGE)

let claimedRange: Promise<number> | undefined
let assignedPortCount = 0

/**
 * Returns the first ports of `count` blocks of `blockSize` consecutive free ports. They lie below the ports that the system
 * assigns to outgoing connections, so that no such connection occupies a port before the intended process listens on it.
 * They are assigned one after the other from a range that only this process uses, so that no port is assigned twice
 * while the process intended for it has not started yet.
 */
export async function findFreePorts (count: number, blockSize = 1): Promise<number[]> {
  claimedRange ??= claimRange()
  const rangeStart = await claimedRange
  const firstPorts: number[] = []
  while (firstPorts.length < count) {
    const first = assignBlock(rangeStart + 1, blockSize)
    if (await isBlockFree(first, blockSize)) firstPorts.push(first)
  }
  return firstPorts
}

/** Claims a range for the lifetime of this process by listening on its first port. Fails when all ranges are claimed. */
async function claimRange (): Promise<number> {
  const offset = randomInt(RANGE_COUNT)
  for (let index = 0; index < RANGE_COUNT; index++) {
    const start = FIRST_PORT + (offset + index) % RANGE_COUNT * PORTS_PER_RANGE
    if (await tryListen(start)) return start
  }
  throw new Error(`no free port range: all ${RANGE_COUNT} are in use`)
}

/** Returns the first port of the next block, and starts again at the beginning of the range when its end is reached. */
function assignBlock (start: number, size: number): number {
  const usablePorts = PORTS_PER_RANGE - 1
  if (assignedPortCount % usablePorts + size > usablePorts) assignedPortCount += usablePorts - assignedPortCount % usablePorts
  const first = start + assignedPortCount % usablePorts
  assignedPortCount += size
  return first
}

async function isBlockFree (first: number, size: number): Promise<boolean> {
  for (let port = first; port < first + size; port++) if (!await isPortFree(port)) return false
  return true
}

async function isPortFree (port: number): Promise<boolean> {
  return await new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => { resolve(false) })
    server.listen(port, HOST, () => { server.close(() => { resolve(true) }) })
  })
}

async function tryListen (port: number): Promise<boolean> {
  return await new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => { resolve(false) })
    server.listen(port, HOST, () => {
      server.unref()
      resolve(true)
    })
  })
}
