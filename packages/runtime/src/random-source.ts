/** Source of randomness. Tests pass a seeded source, the processes `SystemRandomSource`. */
export interface RandomSource {
  /** A number in [0, 1). */
  drawFraction (): number
  /** An integer in [0, bound). */
  drawInteger (bound: number): number
  /** `byteCount` random bytes in lowercase hexadecimal. */
  drawHex (byteCount: number): string
}
