import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'

/** Upper bound of the random delay that spreads the attempts of instances of the same size. */
const JITTER_MS = 60

/** Delays before the jitter. Larger instances try first, since the owner needs more CPU time than the other instances. */
const DELAYS_BY_CORES: readonly { readonly minimumCores: number, readonly waitMs: number }[] = [
  { minimumCores: 1, waitMs: 0 },
  { minimumCores: 0.6, waitMs: JITTER_MS },
  { minimumCores: 0, waitMs: 300 }
]

/** Returns the delay, in milliseconds, after which an instance with this many CPU cores tries to become the owner. */
export function computeAcquireDelayMs (cores: number, random: RandomSource): number {
  const waitMs = DELAYS_BY_CORES.find(({ minimumCores }) => cores >= minimumCores)?.waitMs ?? 0
  return waitMs + random.drawFraction() * JITTER_MS
}
