import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'

/** Instances that see the owner's key vanish try to take it within this time of each other. */
const JITTER_MS = 60

/** How long instances wait before they try, by the processor time that they have: the owner needs the most of all. */
const DELAYS_BY_CORES: readonly { readonly minimumCores: number, readonly waitMs: number }[] = [
  { minimumCores: 1, waitMs: 0 },
  { minimumCores: 0.6, waitMs: JITTER_MS },
  { minimumCores: 0, waitMs: 300 }
]

/** Time after which an instance with this many cores tries to become the owner. */
export function computeAcquireDelayMs (cores: number, random: RandomSource): number {
  const waitMs = DELAYS_BY_CORES.find(({ minimumCores }) => cores >= minimumCores)?.waitMs ?? 0
  return waitMs + random.drawFraction() * JITTER_MS
}
