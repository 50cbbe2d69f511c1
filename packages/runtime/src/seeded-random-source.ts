import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomSource } from './random-source.js'

const FRACTION_STEPS = 0x1_0000_0000

/** A deterministic random source for tests, benchmarks and stand-ins. */
export class SeededRandomSource implements RandomSource {
  readonly #generator: ReturnType<typeof xoroshiro128plus>

  constructor (seed: number) {
    this.#generator = xoroshiro128plus(seed)
  }

  drawFraction (): number {
    return uniformInt(this.#generator, 0, FRACTION_STEPS - 1) / FRACTION_STEPS
  }

  drawInteger (bound: number): number {
    return uniformInt(this.#generator, 0, bound - 1)
  }

  drawHex (byteCount: number): string {
    let text = ''
    for (let index = 0; index < byteCount; index++) text += this.drawInteger(256).toString(16).padStart(2, '0')
    return text
  }
}
