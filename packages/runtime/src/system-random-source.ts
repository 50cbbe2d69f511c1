import { randomBytes, randomInt } from 'node:crypto'
import type { RandomSource } from './random-source.js'

/** Random source of the process. Fractions are not cryptographically random, integers and bytes are. */
export class SystemRandomSource implements RandomSource {
  drawFraction (): number {
    return Math.random()
  }

  drawInteger (bound: number): number {
    return randomInt(bound)
  }

  drawHex (byteCount: number): string {
    return randomBytes(byteCount).toString('hex')
  }
}
