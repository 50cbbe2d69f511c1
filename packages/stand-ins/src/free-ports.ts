import { randomInt } from 'node:crypto'
import { createServer } from 'node:net'

const FIRST_PORT = 10_000
/** Ports from here up are given to outgoing connections. */
const FIRST_EPHEMERAL_PORT = 32_000
const HOST = '127.0.0.1'
/** Ports of one range; the first of them marks the range as taken. */
const PORTS_PER_RANGE = 400
const RANGE_COUNT = Math.floor((FIRST_EPHEMERAL_PORT - FIRST_PORT) / PORTS_PER_RANGE)

let claimedRange: Promise<number> | undefined
let assignedPortCount = 0

/**
 * Hands out blocks of neighbouring free ports below the range that the system gives to outgoing connections, so that none
 * of those takes one before the process listens on it. Ports come from a range that this process alone uses, in turn, so
 * that a port is not handed out again while the process meant for it has yet to start. Returns the first port of each block.
 */
export async function findFreePorts (count: number, blockSize = 1): Promise<number[]> {
  claimedRange ??= claimRange()
  const rangeStart = await claimedRange
  const firsts: number[] = []
  while (firsts.length < count) {
    const first = assignBlock(rangeStart + 1, blockSize)
    if (await isBlockFree(first, blockSize)) firsts.push(first)
  }
  return firsts
}

/** Takes a range by listening on its first port for as long as this process lives. */
async function claimRange (): Promise<number> {
  const offset = randomInt(RANGE_COUNT)
  for (let index = 0; index < RANGE_COUNT; index++) {
    const start = FIRST_PORT + (offset + index) % RANGE_COUNT * PORTS_PER_RANGE
    if (await tryListen(start)) return start
  }
  throw new Error(`all ${RANGE_COUNT} ranges of ports are in use`)
}

/** The next block of the range; after the last one it starts again at the first. */
function assignBlock (start: number, size: number): number {
  const usable = PORTS_PER_RANGE - 1
  if (assignedPortCount % usable + size > usable) assignedPortCount += usable - assignedPortCount % usable
  const first = start + assignedPortCount % usable
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
