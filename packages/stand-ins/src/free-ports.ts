import { randomInt } from 'node:crypto'
import { createServer } from 'node:net'

const FIRST_PORT = 10_000
/** Ports from here up are given to outgoing connections. */
const END_PORT = 32_000
const HOST = '127.0.0.1'

/**
 * Draws blocks of neighbouring free ports below the range that the system gives to outgoing connections, so that none of
 * those takes one before the process listens on it. Returns the first port of each block.
 */
export async function findFreePorts (count: number, blockSize = 1): Promise<number[]> {
  const firsts: number[] = []
  while (firsts.length < count) {
    const first = randomInt(FIRST_PORT, END_PORT - blockSize)
    const isApart = firsts.every((other) => Math.abs(other - first) >= blockSize)
    if (isApart && await isBlockFree(first, blockSize)) firsts.push(first)
  }
  return firsts
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
