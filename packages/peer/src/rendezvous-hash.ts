import { createHash } from 'node:crypto'

/** Scores are cached because reconciliation ranks all units four times a second. */
const MAX_CACHED_SCORES = 16_384
const cachedScores = new Map<string, number>()

/** Returns the score of a candidate for a key: the first 48 bits of the SHA-256 hash of both. */
export function scoreCandidate (candidate: string, key: string): number {
  const input = `${candidate}\0${key}`
  let score = cachedScores.get(input)
  if (score === undefined) {
    score = createHash('sha256').update(input).digest().readUIntBE(0, 6)
    if (cachedScores.size >= MAX_CACHED_SCORES) cachedScores.clear()
    cachedScores.set(input, score)
  }
  return score
}

/** Ranks candidates for a key by rendezvous hashing, best first. When a candidate leaves, only the keys that it had are moved. */
export function rankCandidates<Candidate extends string> (candidates: readonly Candidate[], key: string): Candidate[] {
  const scored = candidates.map((candidate) => ({ candidate, score: scoreCandidate(candidate, key) }))
  scored.sort((left, right) => right.score - left.score || (left.candidate < right.candidate ? -1 : 1))
  return scored.map(({ candidate }) => candidate)
}
