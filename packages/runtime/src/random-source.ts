/** Source of randomness. Processes use `SystemRandomSource`, tests `SeededRandomSource`. */
export interface RandomSource {
  /** Returns a number in [0, 1). */
  drawFraction (): number
  /** Returns an integer in [0, bound). */
  drawInteger (bound: number): number
  /** Returns `byteCount` random bytes in lowercase hexadecimal. */
  drawHex (byteCount: number): string
}
